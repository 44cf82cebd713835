#include <stdio.h>

/* Runs the command-line tool. */
int
main(int argc, char **argv)
{
    (void)argc;
    printf("%s %s\n", argv[0], HR_VERSION);
    return 0;
}
