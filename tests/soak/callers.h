#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <stdint.h>

/* Callers of the gateways: each has a thread, keeps its connection while it is
   used without a fault, and remembers what it asked and was told.  */

#define CALLERS 24

void callers_start (uint64_t seed);

/* End them after what they are at.  */
void callers_stop (void);

/* From now on, in fleet_now_ms, requests with the second key that are sent
   later than the bound must not run; 0: it is in force.  */
void callers_revoke (long long at);

/* Compare what callers were told with the runs written under FOLDER.  Prints
   each breach; returns how many there are.  */
unsigned callers_check (const char *folder);

/* Print how many requests had which end.  */
void callers_report (void);

/* Whether COUNT requests in a row at GATEWAY are answered.  */
int callers_try (unsigned gateway, unsigned count);

#endif
