#include "bench/bench.h"

namespace goldcrest::bench {

int RunFairness() {
  return 0;
}

}  // namespace goldcrest::bench
