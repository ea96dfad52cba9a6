#include "fleet_simulation.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Plays the seeds from `first` on and reports each that breaks a promise.
void PlaySeeds(SimulationOptions options, unsigned first, unsigned count) {
  for (unsigned seed = first; seed < first + count; ++seed) {
    options.seed = seed;
    FleetSimulation simulation(options);
    simulation.Play();
    if (simulation.Violations().empty())
      continue;
    UNSCOPED_INFO("seed " << seed << ": " << simulation.Violations().size()
                          << " broken promises, the first: "
                          << simulation.Violations().front());
    FAIL_CHECK("a seed breaks a promise");
  }
}

// Reads an unsigned number from the environment.
unsigned Variable(const char* name, unsigned otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr
             ? otherwise
             : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

}  // namespace

// Not run by default. Plays GOLDCREST_SEEDS seeds from GOLDCREST_FIRST_SEED on
// and prints the trace of each that breaks a promise.
TEST_CASE("Seeds chosen by hand", "[.][by-hand]") {
  SimulationOptions options;
  const unsigned first = Variable("GOLDCREST_FIRST_SEED", 1);
  const unsigned count = Variable("GOLDCREST_SEEDS", 1);
  unsigned broken = 0;
  for (unsigned seed = first; seed < first + count; ++seed) {
    options.seed = seed;
    FleetSimulation simulation(options);
    simulation.Play();
    if (simulation.Violations().empty())
      continue;
    ++broken;
    std::cout << "seed " << seed << "\n" << simulation.Trace() << "\n";
  }
  std::cout << count << " seeds, " << broken << " broke a promise\n";
  CHECK(broken == 0);
}

}  // namespace goldcrest::fleet
