#ifndef BASE_VERSION_H
#define BASE_VERSION_H

#define MS_VERSION "0.1.0"

/* What PROGRAM, a string literal, prints for --version.  */
#define MS_VERSION_TEXT(program) program " " MS_VERSION

#endif
