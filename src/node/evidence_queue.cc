#include "node/evidence_queue.h"

#include <algorithm>
#include <utility>

#include "node/load_report.h"

namespace fireflyslip {

void evidence_queue::Add(const std::vector<crash_evidence>& changed) {
  for (const crash_evidence& item : changed) {
    pending_.insert(item.part);
  }
}

std::vector<crash_evidence> evidence_queue::Take(const crash_attribution& known,
                                                 time_point now) {
  const double burst = bytes_per_second_ * kBurstSeconds;
  available_ =
      refilled_at_
          ? std::min(burst, available_ + ToSeconds(now - *refilled_at_) *
                                             bytes_per_second_)
          : burst;
  refilled_at_ = now;
  if (pending_.empty()) {
    return {};
  }
  std::vector<crash_evidence> waiting = known.ChangedSince(time_point(), now);
  std::erase_if(waiting, [this](const crash_evidence& item) {
    return !pending_.contains(item.part);
  });
  pending_.clear();
  const std::size_t count = waiting.size();
  waiting = Strongest(std::move(waiting), count);
  std::vector<crash_evidence> sent;
  for (crash_evidence& item : waiting) {
    const auto bytes =
        static_cast<double>(EncodeLoadMessage(crash_notice{{item}}).size());
    if (bytes <= available_) {
      available_ -= bytes;
      sent.push_back(std::move(item));
    } else {
      pending_.insert(item.part);
    }
  }
  return sent;
}

}  // namespace fireflyslip
