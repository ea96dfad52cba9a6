#include <cstdio>
#include <string_view>

#include "bench/bench.h"

int main(int argc, char** argv) {
  const std::string_view command = argc == 2 ? argv[1] : "";
  if (command == "quota") {
    return goldcrest::bench::RunQuota();
  }
  if (command == "fairness") {
    return goldcrest::bench::RunFairness();
  }
  if (command == "cost") {
    return goldcrest::bench::RunCost();
  }
  if (command == "failover") {
    return goldcrest::bench::RunFailover();
  }
  if (command == "reads") {
    return goldcrest::bench::RunReads();
  }
  std::fputs("usage: goldcrest_bench quota|fairness|cost|failover|reads\n",
             stderr);
  return 2;
}
