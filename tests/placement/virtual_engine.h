#ifndef FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_ENGINE_H_
#define FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_ENGINE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "fireflyslip/core.h"
#include "fireflyslip/placement.h"

namespace fireflyslip::testing_support {

/// \brief One stream of a workload and its result.
struct stream_job {
  int urgency = 0;
  double prompt = 0;  ///< tokens
  double output = 0;  ///< tokens
  duration target = {};
  time_point arrived;
  int refusals = 0;

  double prefilled = 0;
  double generated = 0;
  time_point last_event;
  duration max_gap = {};
  std::optional<time_point> first_event;
  bool done = false;
};

/// \brief Model of an engine with continuous batching, by the parameters that
/// the platform publishes. Requests are admitted to slots by priority; a pass
/// prefills prompts and then decodes a few tokens of each running request.
class virtual_engine {
 public:
  static constexpr std::size_t kSlots = 16;
  static constexpr int kStepsPerPass = 5;
  static constexpr double kStepMs = 9.27;
  static constexpr double kStepMsPerRequest = 0.0232;
  static constexpr double kStepMsPerContextToken = 0.0322e-3;
  static constexpr double kPrefillTokensPerMs = 20.7;
  static constexpr double kPrefillChunk = 2048;  // prompt tokens per step

  void Enqueue(stream_job& job) {
    const auto behind = std::find_if(
        queue_.begin(), queue_.end(),
        [&](const stream_job* other) { return other->urgency > job.urgency; });
    queue_.insert(behind, &job);
  }

  /// \brief Starts the next pass; returns its duration, or zero if idle.
  duration BeginPass() {
    while (running_.size() < kSlots && !queue_.empty()) {
      running_.push_back(queue_.front());
      queue_.pop_front();
    }
    const bool any_decoding = std::any_of(
        running_.begin(), running_.end(),
        [](const auto* job) { return job->prefilled >= job->prompt; });
    const int steps = any_decoding ? kStepsPerPass : 1;
    double budget = kPrefillChunk * steps;
    double prefilling = 0;
    double context = 0;
    std::size_t decoding = 0;
    for (stream_job* job : running_) {
      if (job->prefilled >= job->prompt) {
        ++decoding;
        context += job->prompt + job->generated;
        continue;
      }
      const double part = std::min(budget, job->prompt - job->prefilled);
      job->prefilled += part;
      budget -= part;
      prefilling += part;
    }
    if (running_.empty()) {
      return duration(0);
    }
    const double step = kStepMs +
                        kStepMsPerRequest * static_cast<double>(decoding) +
                        kStepMsPerContextToken * context;
    return slowness_ * FromSeconds((prefilling / kPrefillTokensPerMs +
                                    (any_decoding ? steps * step : 0)) /
                                   1000);
  }

  /// \brief Ends the pass; returns the streams that produced an event.
  std::vector<stream_job*> EndPass(time_point now) {
    std::vector<stream_job*> events;
    for (stream_job* job : running_) {
      if (job->prefilled < job->prompt) {
        continue;
      }
      job->generated += job->first_event ? kStepsPerPass : 1;
      if (!job->first_event) {
        job->first_event = now;
      } else {
        job->max_gap = std::max(job->max_gap, now - job->last_event);
      }
      job->last_event = now;
      job->done = job->generated >= job->output;
      events.push_back(job);
    }
    std::erase_if(running_, [](const stream_job* job) { return job->done; });
    return events;
  }

  /// \brief Sets the factor by which passes take longer than usual.
  void set_slowness(int factor) { slowness_ = factor; }

  std::uint32_t active() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(queue_.size());
  }

 private:
  int slowness_ = 1;
  std::deque<stream_job*> queue_;
  std::vector<stream_job*> running_;
};

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_ENGINE_H_
