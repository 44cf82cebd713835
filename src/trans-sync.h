#ifndef HR_TRANS_SYNC_H
#define HR_TRANS_SYNC_H

/* Concurrency Kit's atomic operations are inline assembly, which the thread
 * sanitizer does not see. These macros declare to it the ordering that the
 * operations already guarantee; they are empty in other builds. For the same
 * reason trans-inbox.c suppresses reports from within Concurrency Kit's ring;
 * accesses to the messages themselves are still checked. */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define HR_SYNC_ACQUIRE(address) __tsan_acquire((void *)(address))
#define HR_SYNC_RELEASE(address) __tsan_release((void *)(address))
#else
#define HR_SYNC_ACQUIRE(address) ((void)(address))
#define HR_SYNC_RELEASE(address) ((void)(address))
#endif

#endif
