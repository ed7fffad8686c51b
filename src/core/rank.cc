#include "fireflyslip/core/rank.h"

namespace fireflyslip {

std::string_view ToString(request_rank rank) {
  switch (rank) {
    case request_rank::kUrgent:
      return "urgent";
    case request_rank::kStandard:
      return "standard";
    case request_rank::kBackground:
      return "background";
  }
  return "standard";
}

std::optional<request_rank> ParseRank(std::string_view name) {
  for (const request_rank rank : kAllRanks) {
    if (ToString(rank) == name) {
      return rank;
    }
  }
  return std::nullopt;
}

}  // namespace fireflyslip
