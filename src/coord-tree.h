#ifndef HR_COORD_TREE_H
#define HR_COORD_TREE_H

#include <bsd/sys/tree.h>

/* RB_GENERATE_STATIC of libbsd relies on a macro that glibc lacks. */
#define HR_RB_GENERATE_STATIC(name, type, field, compare)                     \
    RB_GENERATE_INTERNAL(name, type, field, compare,                          \
                         static __attribute__((unused)))

#endif
