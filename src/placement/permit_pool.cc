#include "fireflyslip/placement/permit_pool.h"

#include <algorithm>
#include <utility>

namespace fireflyslip {

std::map<vm_id, std::uint32_t> permit_pool::Take(std::vector<vm_id> receivers,
                                                 time_point now) {
  const duration since = std::min(now - accrued_at_, kMaxAccrual);
  accrued_at_ = now;
  accrued_ = std::min(accrued_ + rate_ * ToSeconds(since),
                      1 + rate_ * ToSeconds(kMaxAccrual));
  std::map<vm_id, std::uint32_t> permits;
  if (receivers.empty()) {
    return permits;
  }
  std::sort(receivers.begin(), receivers.end(),
            [this](const vm_id& a, const vm_id& b) {
              return std::pair(last_turns_[a], a) <
                     std::pair(last_turns_[b], b);
            });
  for (std::size_t i = 0; accrued_ >= 1; ++i) {
    const vm_id& receiver = receivers[i % receivers.size()];
    accrued_ -= 1;
    ++permits[receiver];
    last_turns_[receiver] = ++turn_;
  }
  return permits;
}

}  // namespace fireflyslip
