#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sched.h>
#include <talloc.h>

#include <cmocka.h>

#include "common-thread.h"

#define SENDER_COUNT 4
#define MESSAGES_PER_SENDER 20000

/* A message with its sender and its number in the order of the sender. */
typedef struct Message {
    uint32_t sender;
    uint32_t number;
} Message;

/* The receiver of all messages, and the next number that it expects of each
 * sender. */
typedef struct Receiver {
    HrInbox *inbox;
    uint32_t received;
    uint32_t next_numbers[SENDER_COUNT];
    uint32_t out_of_order;
} Receiver;

/* A thread that sends messages to the inbox. */
typedef struct Sender {
    pthread_t thread;
    uint32_t index;
    HrInbox *inbox;
} Sender;

/* Sends numbered messages; retries while the inbox is full. */
static void *
send_messages(void *arg)
{
    Sender *sender = arg;
    uint32_t i;

    for (i = 0; i < MESSAGES_PER_SENDER; i++) {
        Message *message = talloc(NULL, Message);

        message->sender = sender->index;
        message->number = i;
        while (HrInbox_PutMessage(sender->inbox, message) != HR_OK) {
            sched_yield();
        }
    }
    return NULL;
}

/* Removes the pending messages, and counts those out of order. */
static void
receive_messages(void *arg, int fd, uint32_t events)
{
    Receiver *receiver = arg;
    Message *message;

    (void)fd;
    (void)events;
    HrInbox_ClearWakeUp(receiver->inbox);
    while ((message = HrInbox_PopMessage(receiver->inbox)) != NULL) {
        receiver->out_of_order +=
            message->number != receiver->next_numbers[message->sender]++;
        receiver->received++;
        talloc_free(message);
    }
}

/* Guards against messages that are lost, repeated or reordered when several
 * threads send, and against a missed wake-up. */
static void
test_all_messages_are_received_in_order(void **state)
{
    HrClock clock = HrClock_MakeSystem();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    Receiver receiver = {.inbox = HrInbox_Create(loop, 64)};
    Sender senders[SENDER_COUNT];
    uint32_t i;

    (void)state;
    HrLoop_AddFd(loop, HrInbox_GetFd(receiver.inbox), HR_LOOP_READ,
                 receive_messages, &receiver);
    for (i = 0; i < SENDER_COUNT; i++) {
        senders[i].index = i;
        senders[i].inbox = receiver.inbox;
        pthread_create(&senders[i].thread, NULL, send_messages, &senders[i]);
    }
    TestLoop_RunUntilCount(loop, &receiver.received,
                           SENDER_COUNT * MESSAGES_PER_SENDER);
    for (i = 0; i < SENDER_COUNT; i++) {
        pthread_join(senders[i].thread, NULL);
    }
    assert_int_equal(receiver.out_of_order, 0);
    talloc_free(loop);
}

/* Guards against an inbox that grows without limit. */
static void
test_full_inbox_refuses_messages(void **state)
{
    HrInbox *inbox = HrInbox_Create(NULL, 8);
    int messages[16], accepted = 0;

    (void)state;
    while (accepted < 16 &&
           HrInbox_PutMessage(inbox, &messages[accepted]) == HR_OK) {
        accepted++;
    }
    assert_int_equal(accepted, 7);
    assert_ptr_equal(HrInbox_PopMessage(inbox), &messages[0]);
    assert_int_equal(HrInbox_PutMessage(inbox, &messages[7]), HR_OK);
    talloc_free(inbox);
}

/* The names of the timers that fired, in their order. */
typedef struct TimerOrder {
    char order[8];
    uint32_t count;
} TimerOrder;

/* The argument of a timer callback. */
typedef struct NamedTimer {
    TimerOrder *record;
    char name;
} NamedTimer;

/* Records which timer fired. */
static void
record_timer(void *arg)
{
    NamedTimer *timer = arg;

    timer->record->order[timer->record->count++] = timer->name;
}

/* Guards against timers that fire early, twice or out of order. */
static void
test_timers_fire_in_order(void **state)
{
    HrClock clock = HrClock_MakeManual(1000, 0);
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    TimerOrder record = {{0}, 0};
    NamedTimer a = {&record, 'a'}, b = {&record, 'b'}, c = {&record, 'c'};
    HrLoopTimer *first = HrLoop_AddTimer(loop, record_timer, &a);
    HrLoopTimer *second = HrLoop_AddTimer(loop, record_timer, &b);
    HrLoopTimer *third = HrLoop_AddTimer(loop, record_timer, &c);

    (void)state;
    HrLoop_SetTimer(loop, first, 3000);
    HrLoop_SetTimer(loop, second, 2000);
    HrLoop_SetTimer(loop, third, 2000);
    HrLoop_RunOnce(loop, 0);
    assert_int_equal(record.count, 0);
    HrClock_Advance(&clock, 1000);
    HrLoop_RunOnce(loop, 0);
    assert_string_equal(record.order, "bc");
    HrLoop_SetTimer(loop, second, 2500);
    HrLoop_SetTimer(loop, second, HR_TIME_NEVER);
    HrClock_Advance(&clock, 5000);
    HrLoop_RunOnce(loop, 0);
    HrLoop_RunOnce(loop, 0);
    assert_string_equal(record.order, "bca");
    talloc_free(loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_all_messages_are_received_in_order),
        cmocka_unit_test(test_full_inbox_refuses_messages),
        cmocka_unit_test(test_timers_fire_in_order),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
