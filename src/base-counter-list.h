/* Every counter: HR_COUNTER(name, unit, meaning). No include guard: the file
 * is included once for each use of the list. */
HR_COUNTER(queries_received, queries, "queries accepted for processing")
HR_COUNTER(queries_complete, queries, "answers with every shard")
HR_COUNTER(queries_partial, queries, "answers marked partial")
HR_COUNTER(queries_refused, queries, "queries refused")
HR_COUNTER(queries_unknown, queries,
           "non-idempotent requests, outcome unknown")
HR_COUNTER(bad_requests, requests,
           "caller or operator requests refused as bad")
HR_COUNTER(sub_requests_sent, requests, "first attempts sent to servers")
HR_COUNTER(sub_hedges_sent, requests, "hedged attempts sent to servers")
HR_COUNTER(sub_retries_sent, requests, "retries sent to servers")
HR_COUNTER(sub_answers_dropped, answers,
           "answers that matched no open attempt")
HR_COUNTER(log_events_suppressed, events, "log events left out by the limit")
HR_COUNTER(sub_requests_shed, answers,
           "attempts that a server shed or refused at its connection cap")
HR_COUNTER(connections_silent, connections,
           "connections given up because no answer came in time")
HR_COUNTER(slots_expired, slots,
           "slots freed at a deadline because the end was never confirmed")
