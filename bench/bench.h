#ifndef GOLDCREST_BENCH_BENCH_H_
#define GOLDCREST_BENCH_BENCH_H_

namespace goldcrest::bench {

//! Compares the wrongful refusals of leased quota shares with those of a static
//! split. Runs in virtual time, so each run prints the same figures. Returns 1
//! if the leased shares ever exceeded a customer's limit, else 0.
int RunQuota();

//! Measures the waiting times of customers within their rates while another one
//! exceeds its rate. Runs in virtual time, except for the cost of the queue
//! operations, which is wall time. Returns 0.
int RunFairness();

//! Measures how processor time, memory, control traffic and recovery time grow
//! with the number of customers, keys, instances and changes. Returns 0.
int RunCost();

//! Measures the gap in acknowledged writes when the primary, the control leader
//! or the group's coordinator fails. Runs in virtual time. Returns 1 if a run
//! did not recover or a gap reached 5 s, else 0.
int RunFailover();

//! Compares the share of reads served by replicas with the best share that any
//! routing rule could reach and with reading from the primary only. Runs in
//! virtual time. Returns 0.
int RunReads();

//! Measures the control plane; part of RunCost().
void RunControlCost();

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_BENCH_H_
