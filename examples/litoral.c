/* Prints the configuration of the Silos del Litoral deployment, to be
   published with monsoonspur-config.  The optional argument names an
   availability zone to take out of service.  */

#include <monsoonspur/builder.h>

#include <string.h>

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "paysandu", "salto", "durazno" };
  const struct ms_service_spec agronomo = { .name = "agronomo",
                                            .cold_limit = 2,
                                            .warm_limit = 8,
                                            .cells_per_zone = 2,
                                            .unit_us = 2000,
                                            .report_lag_ms = 600 };
  const struct ms_service_spec silo_mando = { .name = "silo-mando",
                                              .kind = "plain",
                                              .cold_limit = 2,
                                              .warm_limit = 8,
                                              .cells_per_zone = 1,
                                              .unit_us = 2000,
                                              .report_lag_ms = 600 };
  struct ms_builder *builder = ms_builder_create ();
  enum ms_status status;

  for (int i = 0; i < 3; i++)
    ms_builder_zone (builder, zones[i], "uy-norte",
                     argc < 2 || strcmp (argv[1], zones[i]) != 0);
  for (int i = 1; i <= 16; i++)
    {
      char name[24];

      snprintf (name, sizeof name, "silo-%02d", i);
      ms_builder_team (builder, name, 1);
    }
  ms_builder_service (builder, &agronomo);
  ms_builder_service (builder, &silo_mando);
  status = ms_builder_print (builder, stdout);
  if (status != MS_OK)
    fprintf (stderr, "litoral: %s\n", ms_last_message ());
  ms_builder_destroy (builder);
  return status == MS_OK ? 0 : 1;
}
