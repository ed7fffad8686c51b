#include "fireflyslip/runtime/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fireflyslip {
namespace {

/// Bucket bounds in seconds; they include the targets of 43 ms between tokens
/// and 360 ms to the first token.
const prometheus::Histogram::BucketBoundaries& HistogramBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.001, 0.003, 0.01, 0.02, 0.043, 0.1, 0.2, 0.36, 0.7, 1.5, 3, 8, 20, 60};
  return buckets;
}

}  // namespace

metrics::metrics() : registry_(std::make_shared<prometheus::Registry>()) {}
metrics::~metrics() = default;

void metrics::Count(const std::string& name,
                    const labels& label_values,
                    double increment) {
  prometheus::BuildCounter()
      .Name(name)
      .Register(*registry_)
      .Add(label_values)
      .Increment(increment);
}

void metrics::Set(const std::string& name,
                  const labels& label_values,
                  double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Register(*registry_)
      .Add(label_values)
      .Set(value);
}

void metrics::ObserveSeconds(const std::string& name,
                             const labels& label_values,
                             double value) {
  prometheus::BuildHistogram()
      .Name(name)
      .Register(*registry_)
      .Add(label_values, HistogramBuckets())
      .Observe(value);
}

std::string metrics::Render() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace fireflyslip
