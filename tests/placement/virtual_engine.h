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

/// \brief One stream of a workload and what became of it.
struct stream_job {
  int urgency = 0;
  double prompt = 0;  ///< tokens
  double output = 0;  ///< tokens
  duration target = {};
  time_point arrived;
  int refusals = 0;

  double read = 0;
  double written = 0;
  time_point last_event;
  duration longest_pause = {};
  std::optional<time_point> first_event;
  bool done = false;
};

/// \brief Continuous batching as the platform publishes it: requests are
/// admitted to slots by priority; a pass reads prompts and then makes a few
/// tokens for each running request.
class virtual_engine {
 public:
  static constexpr std::size_t kSlots = 16;
  static constexpr int kStride = 5;  // steps of a pass
  static constexpr double kStepMs = 9.27;
  static constexpr double kStepMsPerRequest = 0.0232;
  static constexpr double kStepMsPerContextToken = 0.0322e-3;
  static constexpr double kTokensReadPerMs = 20.7;
  static constexpr double kChunk = 2048;  // tokens read in a step

  void Arrive(stream_job& job) {
    const auto behind = std::find_if(
        queue_.begin(), queue_.end(),
        [&](const stream_job* other) { return other->urgency > job.urgency; });
    queue_.insert(behind, &job);
  }

  /// \brief Plans the next pass; returns its length, or zero if idle.
  duration BeginPass() {
    while (running_.size() < kSlots && !queue_.empty()) {
      running_.push_back(queue_.front());
      queue_.pop_front();
    }
    const bool writes =
        std::any_of(running_.begin(), running_.end(),
                    [](const auto* job) { return job->read >= job->prompt; });
    const int steps = writes ? kStride : 1;
    double budget = kChunk * steps;
    double reading = 0;
    double context = 0;
    std::size_t writers = 0;
    for (stream_job* job : running_) {
      if (job->read >= job->prompt) {
        ++writers;
        context += job->prompt + job->written;
        continue;
      }
      const double part = std::min(budget, job->prompt - job->read);
      job->read += part;
      budget -= part;
      reading += part;
    }
    if (running_.empty()) {
      return duration(0);
    }
    const double step = kStepMs +
                        kStepMsPerRequest * static_cast<double>(writers) +
                        kStepMsPerContextToken * context;
    return FromSeconds(
        (reading / kTokensReadPerMs + (writes ? steps * step : 0)) / 1000);
  }

  /// \brief Ends the pass; returns the streams that got an event.
  std::vector<stream_job*> EndPass(time_point now) {
    std::vector<stream_job*> events;
    for (stream_job* job : running_) {
      if (job->read < job->prompt) {
        continue;
      }
      job->written += job->first_event ? kStride : 1;
      if (!job->first_event) {
        job->first_event = now;
      } else {
        job->longest_pause =
            std::max(job->longest_pause, now - job->last_event);
      }
      job->last_event = now;
      job->done = job->written >= job->output;
      events.push_back(job);
    }
    std::erase_if(running_, [](const stream_job* job) { return job->done; });
    return events;
  }

  std::uint32_t active() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(queue_.size());
  }

 private:
  std::deque<stream_job*> queue_;
  std::vector<stream_job*> running_;
};

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_ENGINE_H_
