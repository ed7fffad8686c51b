// Compares the request scheduler with a FIFO queue in virtual time. Prints one
// line of key=value pairs per figure.

#include <cstdio>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core.h"
#include "fireflyslip/scheduling.h"
#include "scheduling/virtual_upstream.h"

namespace fireflyslip {
namespace {

using testing_support::job;
using testing_support::load;

constexpr std::size_t kSlots = 8;
constexpr double kCapacity = kSlots * testing_support::kSlotRate;
constexpr double kRequests = kCapacity / testing_support::kMeanTokens;
constexpr duration kLength = seconds(120);
constexpr double kFloor = 0.1;

// FIFO queue with the same bound and no other policy.
class fifo_queue {
 public:
  explicit fifo_queue(const scheduling_policy& policy) : policy_(policy) {}

  std::vector<request_scheduler::action> Handle(
      const request_scheduler::event& event,
      time_point /*now*/) {
    std::vector<request_scheduler::action> actions;
    if (const auto* value = std::get_if<request_scheduler::enqueue>(&event)) {
      if (queue_.size() < policy_.queue_bound) {
        queue_.push_back(value->attempt);
      } else {
        actions.emplace_back(request_scheduler::refuse{value->attempt});
      }
    } else if (std::holds_alternative<request_scheduler::finished>(event)) {
      --running_;
    }
    while (running_ < policy_.slots && !queue_.empty()) {
      ++running_;
      actions.emplace_back(request_scheduler::start{queue_.front()});
      queue_.pop_front();
    }
    return actions;
  }

  std::optional<time_point> NextDeadline() const { return std::nullopt; }

 private:
  scheduling_policy policy_;
  std::deque<attempt_id> queue_;
  std::size_t running_ = 0;
};

template <typename Scheduler>
std::vector<job> Run(const std::vector<load>& loads) {
  std::vector<job> jobs = testing_support::MakeJobs(loads, kLength, 1);
  Scheduler scheduler(scheduling_policy{kSlots, 256, {kFloor, kFloor, kFloor}});
  testing_support::RunJobs(scheduler, jobs, kLength);
  return jobs;
}

template <typename Scheduler>
void Report(const char* name) {
  const load urgent = {"u", request_rank::kUrgent, kRequests * 0.3, seconds(4)};
  const load standard = {"s", request_rank::kStandard, kRequests * 0.3};
  const load background = {"b", request_rank::kBackground, kRequests * 10,
                           seconds(60)};
  const auto baseline = Run<Scheduler>({urgent});
  const auto flooded = Run<Scheduler>({urgent, background});
  const double before =
      testing_support::LatencyQuantile(baseline, request_rank::kUrgent, 0.95);
  const double after =
      testing_support::LatencyQuantile(flooded, request_rank::kUrgent, 0.95);
  std::printf(
      "figure=background_flood queue=%s p95_calm_s=%.3f p95_flood_s=%.3f "
      "ratio=%.3f\n",
      name, before, after, after / before);

  load urgent_flood = urgent;
  urgent_flood.per_second = kRequests * 10;
  const auto flood = Run<Scheduler>({urgent_flood, standard, background});
  for (const request_rank rank :
       {request_rank::kStandard, request_rank::kBackground}) {
    std::printf(
        "figure=urgent_flood queue=%s rank=%s floor=%.2f lowest_10s=%.4f "
        "mean=%.4f\n",
        name, std::string(ToString(rank)).c_str(), kFloor,
        testing_support::MinShare(flood, rank, seconds(20), kLength,
                                  seconds(10), kCapacity),
        testing_support::MinShare(flood, rank, seconds(20), kLength,
                                  kLength - seconds(20), kCapacity));
  }

  std::vector<load> loads;
  loads.reserve(10);
  for (int i = 0; i < 10; ++i) {
    loads.push_back(
        {"w" + std::to_string(i), request_rank::kStandard, kRequests * 0.09});
  }
  auto fair = testing_support::Goodput(Run<Scheduler>(loads));
  loads[0].per_second = kRequests * 0.1 * 20;
  auto overloaded_goodput = testing_support::Goodput(Run<Scheduler>(loads));
  double others_before = 0;
  double others_after = 0;
  for (int i = 1; i < 10; ++i) {
    others_before += fair["w" + std::to_string(i)];
    others_after += overloaded_goodput["w" + std::to_string(i)];
  }
  std::printf("figure=workspace_20x queue=%s others_kept=%.3f\n", name,
              others_after / others_before);

  for (load& load : loads) {
    load.per_second = kRequests * 0.2;
  }
  std::printf("figure=equal_workspaces queue=%s jain=%.4f\n", name,
              testing_support::JainIndex(
                  testing_support::Goodput(Run<Scheduler>(loads))));

  std::vector<load> full_load = {urgent, standard, background};
  for (load& load : full_load) {
    load.per_second = kRequests / 3;
  }
  std::vector<load> triple_load = full_load;
  for (load& load : triple_load) {
    load.per_second = kRequests;
  }
  const double at_capacity =
      testing_support::TotalGoodput(Run<Scheduler>(full_load));
  const double overload =
      testing_support::TotalGoodput(Run<Scheduler>(triple_load));
  std::printf("figure=overload_3x queue=%s goodput_ratio=%.3f\n", name,
              overload / at_capacity);
}

}  // namespace
}  // namespace fireflyslip

int main() {
  fireflyslip::Report<fireflyslip::fifo_queue>("fifo");
  fireflyslip::Report<fireflyslip::request_scheduler>("scheduler");
}
