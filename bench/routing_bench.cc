// Compares the power of two choices with random selection and round robin in
// virtual time. Prints one line of key=value pairs per result.

#include <cstdio>

#include "fireflyslip/core.h"
#include "fireflyslip/routing.h"
#include "routing/virtual_fleet.h"

namespace fireflyslip {
namespace {

template <typename Policy>
void Report(const char* name) {
  for (const duration age :
       {milliseconds(100), milliseconds(500), milliseconds(2000)}) {
    const auto metrics = testing_support::SimulateFleet<Policy>(age, 1);
    std::printf(
        "figure=routing policy=%s report_age_s=%.1f p95_wait_s=%.3f "
        "longest_queue_tokens=%.0f\n",
        name, ToSeconds(age), metrics.p95_wait, metrics.longest_queue);
  }
}

}  // namespace
}  // namespace fireflyslip

int main() {
  fireflyslip::Report<fireflyslip::random_policy>("random");
  fireflyslip::Report<fireflyslip::round_robin_policy>("round_robin");
  fireflyslip::Report<fireflyslip::two_choices_policy>("two_choices");
}
