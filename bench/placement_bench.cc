#include <cstdio>
#include <string>
#include <vector>

#include "placement/virtual_fleet.h"

namespace {

using fireflyslip::milliseconds;
using fireflyslip::placement_policy;
using fireflyslip::seconds;
using fireflyslip::testing_support::kind_outcome;
using fireflyslip::testing_support::stream_kind;
using fireflyslip::testing_support::virtual_fleet;

/// Sustained demand of the second site, about 1.36 times the capacity of its
/// fleet.
std::vector<stream_kind> Demand(double scale) {
  return {{35.1 * scale, 787, 101, milliseconds(400)},
          {32.6 * scale, 607, 70, milliseconds(400)},
          {46.3 * scale, 1290, 101, milliseconds(1000)}};
}

void Print(const char* name,
           std::size_t gateways,
           std::size_t engines,
           double scale) {
  virtual_fleet fleet(placement_policy(), gateways, engines, 1);
  fleet.Play(Demand(scale), seconds(40));
  std::printf("%-12s", name);
  for (int urgency = 0; urgency < 3; ++urgency) {
    const kind_outcome outcome = fleet.Outcome(urgency);
    std::printf("  %zu: asked %5zu in time %.3f late %.3f refused %.3f",
                static_cast<std::size_t>(urgency), outcome.submitted,
                outcome.Share(outcome.on_time), outcome.Share(outcome.late),
                outcome.Share(outcome.refused));
  }
  std::printf("\n");
}

}  // namespace

int main() {
  Print("overload", 6, 9, 1.0);
  Print("capacity", 6, 9, 0.73);
  Print("half", 6, 9, 0.4);
  Print("large fleet", 44, 58, 6.44);
}
