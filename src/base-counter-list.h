/* The list of all counters, as HR_COUNTER(name, unit, meaning). The includer
 * defines HR_COUNTER. There is no include guard, because each use of the list
 * includes the file again with its own macro. */
HR_COUNTER(queries_received, queries, "queries accepted for processing")
HR_COUNTER(queries_complete, queries, "answers with every shard")
HR_COUNTER(queries_partial, queries, "answers marked partial")
HR_COUNTER(queries_refused, queries, "queries refused")
HR_COUNTER(queries_unknown, queries,
           "non-idempotent requests, outcome unknown")
HR_COUNTER(bad_requests, requests,
           "caller or operator requests refused as bad")
HR_COUNTER(requests_unauthorized, requests,
           "requests refused because they have no valid API key")
HR_COUNTER(requests_outdated_keys, requests,
           "requests refused because API keys may have been withdrawn")
HR_COUNTER(sub_requests_sent, requests, "first attempts sent to servers")
HR_COUNTER(sub_hedges_sent, requests, "hedged attempts sent to servers")
HR_COUNTER(sub_retries_sent, requests, "retries sent to servers")
HR_COUNTER(sub_answers_dropped, answers,
           "answers that matched no open attempt")
HR_COUNTER(log_events_suppressed, events, "log events left out by the limit")
HR_COUNTER(peer_links_opened, links, "peer links that passed the handshake")
HR_COUNTER(peer_links_closed, links, "peer links closed")
HR_COUNTER(peer_links_refused, links, "peer links refused at the link limit")
HR_COUNTER(peer_links_silent, links, "peer links closed for silence")
HR_COUNTER(peer_links_stalled, links,
           "peer links found quiet before the silence limit")
HR_COUNTER(peer_bad_length, frames, "peer frames with an invalid length")
HR_COUNTER(peer_bad_frames, frames, "peer frames that are malformed")
HR_COUNTER(peer_wrong_cluster, links, "peer links from another cluster")
HR_COUNTER(peer_failed_proof, links, "peer links with a failed proof")
HR_COUNTER(peer_queue_full, frames, "peer frames refused by a full queue")
HR_COUNTER(gather_restarts, queries,
           "queries restarted because their index version was lost")
HR_COUNTER(gather_failovers, requests,
           "sub-requests sent to a further scheduling daemon")
HR_COUNTER(gather_bad_answers, answers,
           "sub-answers of a wrong shard or version, or without payload")
HR_COUNTER(config_store_calls, calls, "reads and watches of the tables")
HR_COUNTER(config_store_failures, calls,
           "reads and watches of the tables without an answer")
HR_COUNTER(store_calls_repeated, calls,
           "reads, watches and renewals of leases that were repeated")
HR_COUNTER(gateway_lists_copied, lists,
           "lists of gateways copied from another one instead of the store")
HR_COUNTER(store_restores, times,
           "times that the store was found restored from an older copy")
HR_COUNTER(config_revisions, revisions, "table revisions put in force")
HR_COUNTER(config_alarms, alarms,
           "store found empty, older, invalid or forked")
HR_COUNTER(config_bad_deltas, messages,
           "table deltas from peers that did not apply")
HR_COUNTER(claim_messages, messages, "claim asks and outcomes accepted")
HR_COUNTER(claim_commits, writes, "claim batches written to the store")
HR_COUNTER(claim_conflicts, writes,
           "claim batches refused because another owner wrote first")
HR_COUNTER(claim_store_failures, calls, "claim store calls that failed")
HR_COUNTER(claims_granted, claims, "claims granted to this daemon")
HR_COUNTER(claims_released, claims, "claims given up without a dispatch")
HR_COUNTER(member_probes_sent, probes, "direct membership probes sent")
HR_COUNTER(member_probes_failed, probes,
           "membership probes without a direct or indirect answer")
HR_COUNTER(member_refutations, refutations,
           "wrong suspicions of this daemon that it refuted")
HR_COUNTER(member_pauses, pauses,
           "times this process was found to have been paused")
HR_COUNTER(members_refused, members,
           "member updates refused as malformed or over the limit")
HR_COUNTER(sub_requests_shed, answers,
           "attempts that a server shed or refused at its connection cap")
HR_COUNTER(connections_silent, connections,
           "connections given up because no answer came in time")
HR_COUNTER(slots_expired, slots,
           "slots freed at a deadline because the end was never confirmed")
HR_COUNTER(forward_hedges, requests,
           "attempts sent while an earlier one ran, by the gateway")
HR_COUNTER(forward_retries, requests,
           "attempts sent after an earlier one failed, by the gateway")
HR_COUNTER(forward_denied, requests,
           "repeats that the limit of the service did not permit")
HR_COUNTER(forward_declined, answers,
           "answers that say the request did not run")
HR_COUNTER(forward_misdirected, answers,
           "answers of another server at a reused address")
HR_COUNTER(forward_lost, requests,
           "attempts without an answer that may have run")
HR_COUNTER(forward_malformed, answers, "answers that are cut or no HTTP")
HR_COUNTER(forward_not_sent, requests,
           "attempts whose connection could not be opened")
HR_COUNTER(forward_errors, answers, "failures that a server answered with")
HR_COUNTER(forward_inside_zone, requests,
           "attempts sent to servers of the gateway's own zone")
HR_COUNTER(forward_outside_zone, requests,
           "attempts sent to servers of other zones")
HR_COUNTER(servers_malformed, entries,
           "entries of the list of servers that were left out as malformed")
HR_COUNTER(answers_leaving, answers,
           "answers whose server states that it is shutting down")
HR_COUNTER(answers_pausing, answers,
           "answers whose server wants no request for some time")
HR_COUNTER(answers_cold, answers,
           "answers whose server states that it is cold")
HR_COUNTER(answers_load, answers, "answers whose server states its load")
HR_COUNTER(answers_bad_fields, answers,
           "statements of servers in answers that are ignored as malformed")
HR_COUNTER(callers_left, queries, "requests whose caller left before the end")
HR_COUNTER(callers_reclaimed, connections,
           "connections of callers without progress whose memory was needed")
HR_COUNTER(callers_over_memory, requests,
           "requests refused, or answers cut, because memory was short")
HR_COUNTER(callers_displaced, connections,
           "connections without progress closed to accept another one")
HR_COUNTER(forward_waits, requests,
           "attempts that waited for the turn of their tenant at a service")
HR_COUNTER(forward_overloaded, queries,
           "requests refused because they would be answered too late")
HR_COUNTER(hello_sent, messages, "messages sent to other gateways")
HR_COUNTER(hello_received, messages, "messages of other gateways")
HR_COUNTER(hello_dropped, messages,
           "messages of other gateways that arrived during a pause")
HR_COUNTER(limit_messages_sent, messages,
           "messages about shared limits sent to other gateways")
HR_COUNTER(limit_messages_received, messages,
           "messages about shared limits of other gateways")
HR_COUNTER(limit_granted, events, "events that a shared limit permitted")
HR_COUNTER(limit_denied, events, "events that a shared limit did not permit")
HR_COUNTER(limit_timeouts, events,
           "denied because the owner of the limit did not reply")
HR_COUNTER(limit_takes, messages, "requests for credits of a shared limit")
HR_COUNTER(limit_credits_expired, credits,
           "credits of a shared limit that expired unused")
HR_COUNTER(limit_owner_changes, changes, "changes of the owners of limits")
HR_COUNTER(limit_owners_failed, owners,
           "owners of limits that did not reply in time")
HR_COUNTER(queries_limited, queries, "queries over the limit of their tenant")
HR_COUNTER(pauses, pauses, "times that the process or its VM stood still")
