#ifndef HR_COORD_TREE_H
#define HR_COORD_TREE_H

#include <bsd/sys/tree.h>

/* Replaces RB_GENERATE_STATIC of libbsd, which uses a macro that glibc does
 * not have. */
#define HR_RB_GENERATE_STATIC(name, type, field, compare)                     \
    RB_GENERATE_INTERNAL(name, type, field, compare,                          \
                         static __attribute__((unused)))

#endif
