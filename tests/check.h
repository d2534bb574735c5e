#ifndef TESTS_CHECK_H
#define TESTS_CHECK_H

/* cmocka needs these before its own header.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define RUN(tests) cmocka_run_group_tests (tests, NULL, NULL)

#endif
