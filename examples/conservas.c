/* Prints the configuration of the Conservas Vale do Taquari deployment, to be
   published with monsoonspur-config.  Half of the model service's cells try
   the deficit policy; team loja-01 has double weight.  */

#include <monsoonspur/builder.h>

int
main (void)
{
  static const char *const zones[] = { "sul-rs-a", "sul-rs-b", "sul-rs-c" };
  const struct ms_service_spec modelo = { .name = "modelo-conservas",
                                          .cold_limit = 2,
                                          .warm_limit = 8,
                                          .cells_per_zone = 2,
                                          .unit_us = 2000,
                                          .report_lag_ms = 600 };
  const struct ms_service_spec pedidos = { .name = "pedidos-app",
                                           .kind = "plain",
                                           .cold_limit = 2,
                                           .warm_limit = 8,
                                           .cells_per_zone = 1,
                                           .unit_us = 2000,
                                           .report_lag_ms = 600 };
  const struct ms_trial_spec trial
      = { .policy = "deficit", .by = "cell", .percent = 50 };
  struct ms_builder *builder = ms_builder_create ();
  enum ms_status status;

  for (int i = 0; i < 3; i++)
    ms_builder_zone (builder, zones[i], "sul-rs", true);
  for (int i = 1; i <= 16; i++)
    {
      char name[24];

      snprintf (name, sizeof name, "loja-%02d", i);
      ms_builder_team (builder, name, i == 1 ? 2 : 1);
    }
  ms_builder_service (builder, &modelo);
  ms_builder_service (builder, &pedidos);
  ms_builder_trial (builder, "modelo-conservas", &trial);
  status = ms_builder_print (builder, stdout);
  if (status != MS_OK)
    fprintf (stderr, "conservas: %s\n", ms_last_message ());
  ms_builder_destroy (builder);
  return status == MS_OK ? 0 : 1;
}
