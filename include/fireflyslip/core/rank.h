#ifndef FIREFLYSLIP_CORE_RANK_H_
#define FIREFLYSLIP_CORE_RANK_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fireflyslip {

/// \brief Priority class of a request, in descending order of priority.
enum class request_rank { kUrgent = 0, kStandard = 1, kBackground = 2 };

inline constexpr std::size_t kRankCount = 3;
inline constexpr std::array<request_rank, kRankCount> kAllRanks = {
    request_rank::kUrgent, request_rank::kStandard, request_rank::kBackground};

/// \brief Index of a rank in arrays that hold one element per rank.
constexpr std::size_t IndexOf(request_rank rank) {
  return static_cast<std::size_t>(rank);
}

/// \brief Stable name: `urgent`, `standard` or `background`.
std::string_view ToString(request_rank rank);

/// \brief Parses the stable name of a rank.
std::optional<request_rank> ParseRank(std::string_view name);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_RANK_H_
