#ifndef FIREFLYSLIP_CORE_RANDOM_SOURCE_H_
#define FIREFLYSLIP_CORE_RANDOM_SOURCE_H_

#include <cassert>
#include <cstdint>
#include <random>

namespace fireflyslip {

/// \brief Seeded pseudorandom number generator, injected into decision cores.
///
/// A seed yields the same sequence on every platform: only the standard
/// generator is used, since the standard distributions are
/// implementation-defined.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : generator_(seed) {}

  std::uint64_t Next() { return generator_(); }

  /// \brief Uniform number in [0, bound). The bound must be positive.
  std::uint64_t Below(std::uint64_t bound) {
    assert(bound > 0);
    return generator_() % bound;
  }

  /// \brief Uniform number in [0, 1).
  double Fraction() {
    constexpr int kMantissaBits = 53;
    constexpr double kScale = 1.0 / (1ULL << kMantissaBits);
    return static_cast<double>(generator_() >> (64 - kMantissaBits)) * kScale;
  }

 private:
  std::mt19937_64 generator_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_RANDOM_SOURCE_H_
