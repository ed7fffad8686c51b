#ifndef FIREFLYSLIP_CATALOG_STORE_POSITION_H_
#define FIREFLYSLIP_CATALOG_STORE_POSITION_H_

#include <algorithm>
#include <compare>
#include <cstdint>

namespace fireflyslip {

/// \brief Revision of the platform's store within an era.
///
/// The era rises when the store comes back from an older copy; revisions are
/// then given out again, so they are comparable only within an era. Revision 0
/// means that nothing is known.
struct store_position {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const store_position&) const = default;
};

/// \brief Position up to which a kind is known, and what the responses of the
/// store mean for it.
class watch_position {
 public:
  enum class outcome {
    kApplied,     ///< Contains the newest known state.
    kSuperseded,  ///< A newer state is known, or must be listed.
    kOutdated,    ///< The response is of an older era than its request.
  };

  const store_position& known() const { return known_; }
  /// \brief Highest era that is known to exist.
  std::uint64_t era() const { return era_; }

  /// \brief Whether changes after `known()` are not enough.
  bool MustList() const { return known_.revision == 0 || era_ > known_.era; }

  /// \brief A response stated this era, possibly without a revision.
  void ObserveEra(std::uint64_t era) { era_ = std::max(era_, era); }

  /// \brief The store has no history after a position.
  void RecordCompacted(const store_position& from) {
    if (known_ == from) {
      known_.revision = 0;
    }
  }

  /// \brief The state up to a position is known from elsewhere.
  void Advance(const store_position& to) {
    known_ = std::max(known_, to);
    ObserveEra(known_.era);
  }

  /// \brief A list was received.
  /// \param sent_era `era()` when the request was sent.
  outcome ReceiveList(std::uint64_t sent_era, const store_position& at) {
    return Receive(sent_era, at);
  }

  /// \brief Changes after `from` were received.
  outcome ReceiveChanges(const store_position& from, const store_position& at) {
    // The store has applied the revision of the request to another history.
    if (at.era > from.era) {
      ObserveEra(at.era);
      return outcome::kSuperseded;
    }
    return Receive(from.era, at);
  }

 private:
  outcome Receive(std::uint64_t sent_era, const store_position& at) {
    if (at.era < sent_era) {
      return outcome::kOutdated;
    }
    ObserveEra(at.era);
    if (at.era < era_ || at < known_) {
      return outcome::kSuperseded;
    }
    known_ = at;
    return outcome::kApplied;
  }

  store_position known_;
  std::uint64_t era_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_STORE_POSITION_H_
