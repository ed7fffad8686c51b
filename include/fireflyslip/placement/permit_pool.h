#ifndef FIREFLYSLIP_PLACEMENT_PERMIT_POOL_H_
#define FIREFLYSLIP_PLACEMENT_PERMIT_POOL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Splits the rate of requests that a cold replica tolerates among the
/// gateways that receive its load reports.
///
/// Load pattern: many gateways see an idle replica at the same moment, some of
/// them have just started, and none knows how many there are. The agent of the
/// replica gives out each permit once, with a report, so that the sum does not
/// depend on the number of gateways. A gateway may use a permit until the next
/// report, and for one report lifetime at most; those that have waited longest
/// get the next ones.
class permit_pool {
 public:
  /// \brief Sets the rate in permits per second; 0 gives out none.
  void SetRate(double permits_per_s) { rate_ = permits_per_s; }
  double rate() const { return rate_; }

  /// \brief Gives out the permits that have accrued.
  /// \param receivers gateways to which a report is sent now.
  /// \return permits by receiver; receivers without permits are missing.
  std::map<vm_id, std::uint32_t> Take(std::vector<vm_id> receivers,
                                      time_point now);

  /// \brief Forgets a gateway that receives no more reports.
  void Forget(const vm_id& receiver) { last_turns_.erase(receiver); }

 private:
  /// Time for which permits accrue at most, so that a pause does not end with a
  /// burst of requests.
  static constexpr duration kMaxAccrual = milliseconds(150);

  double rate_ = 0;
  double accrued_ = 0;
  time_point accrued_at_;
  std::uint64_t turn_ = 0;
  std::map<vm_id, std::uint64_t> last_turns_;  // 0 before the first permit
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_PERMIT_POOL_H_
