#ifndef FIREFLYSLIP_RUNTIME_METRICS_H_
#define FIREFLYSLIP_RUNTIME_METRICS_H_

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace fireflyslip {

/// \brief Prometheus metrics of the process. Thread-safe.
class metrics {
 public:
  using labels = std::map<std::string, std::string>;

  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void Count(const std::string& name,
             const labels& label_values = {},
             double increment = 1);
  void Set(const std::string& name, const labels& label_values, double value);
  /// \brief Adds an observation in seconds to a histogram.
  void ObserveSeconds(const std::string& name,
                      const labels& label_values,
                      double value);

  /// \brief Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_METRICS_H_
