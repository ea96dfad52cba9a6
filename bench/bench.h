#ifndef GOLDCREST_BENCH_BENCH_H_
#define GOLDCREST_BENCH_BENCH_H_

namespace goldcrest::bench {

//! Wrongful refusals of leased shares against a static split. Virtual time; the
//! same figures on each run.
int RunQuota();

//! Waiting times of the other customers while one exceeds its rate. Virtual
//! time, but for the cost of the queue's operations.
int RunFairness();

//! Processor time, memory, control bytes and recovery against the number of
//! customers, keys, instances and changes.
int RunCost();

//! Gap in acknowledged writes when a primary, the control leader or the group's
//! coordinator is lost. Virtual time.
int RunFailover();

//! Share of reads served by replicas, against the best that any rule could
//! reach and always-primary reads. Virtual time.
int RunReads();

//! The part of RunCost() that concerns control.
void RunControlCost();

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_BENCH_H_
