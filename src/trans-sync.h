#ifndef HR_TRANS_SYNC_H
#define HR_TRANS_SYNC_H

/* Concurrency Kit's atomics are inline assembly, which the thread sanitizer
 * does not see. These marks state the ordering that the atomics already give;
 * they are empty in other builds. Reports from within Concurrency Kit's ring
 * are suppressed in trans-inbox.c for the same reason; what the messages point
 * to is checked. */
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
