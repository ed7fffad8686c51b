#include "node/load_report.h"

#include <nlohmann/json.hpp>

#include "fireflyslip/core/result.h"

namespace fireflyslip {
namespace {

using nlohmann::json;

constexpr char kEntry[] = "entry";
constexpr char kEngine[] = "engine";

std::optional<std::string> Text(const json& value, const char* name) {
  const auto found = value.find(name);
  if (found == value.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

template <typename Number = std::uint32_t>
Number Count(const json& value, const char* name) {
  const auto found = value.find(name);
  return found != value.end() && found->is_number_unsigned()
             ? found->get<Number>()
             : 0;
}

bool Flag(const json& value, const char* name) {
  const auto found = value.find(name);
  return found != value.end() && found->is_boolean() && found->get<bool>();
}

}  // namespace

std::vector<std::uint8_t> EncodeLoadMessage(const load_message& message) {
  json value = json::object();
  std::visit(
      overloaded{
          [&](const load_subscription& subscription) {
            value[kEntry] = subscription.entry.value();
            value["sent_us"] = subscription.sent_us;
          },
          [&](const load_report& report) {
            value[kEngine] = report.engine;
            value["echo_us"] = report.echo_us;
            value["held_us"] = report.held_us;
            value["active"] = report.load.active;
            value["queued"] = report.load.queued;
            value["loading"] = report.load.loading;
            value["reachable"] = report.load.reachable;
            value["entries"] = report.load.entries;
            json& models = value["models"] = json::object();
            for (const auto& [model, version] : report.load.model_versions) {
              models[model.value()] = version;
            }
          },
      },
      message);
  return json::to_cbor(value);
}

std::optional<load_message> DecodeLoadMessage(
    std::span<const std::uint8_t> datagram) {
  const json value =
      json::from_cbor(datagram.begin(), datagram.end(), true, false);
  if (value.is_discarded() || !value.is_object()) {
    return std::nullopt;
  }
  if (auto entry = Text(value, kEntry)) {
    return load_subscription{vm_id(*entry),
                             Count<std::uint64_t>(value, "sent_us")};
  }
  auto engine = Text(value, kEngine);
  if (!engine) {
    return std::nullopt;
  }
  load_report report;
  report.engine = *engine;
  report.echo_us = Count<std::uint64_t>(value, "echo_us");
  report.held_us = Count<std::uint64_t>(value, "held_us");
  report.load.active = Count(value, "active");
  report.load.queued = Count(value, "queued");
  report.load.loading = Flag(value, "loading");
  report.load.reachable = Flag(value, "reachable");
  report.load.entries = Count(value, "entries");
  if (const auto models = value.find("models");
      models != value.end() && models->is_object()) {
    for (const auto& [model, version] : models->items()) {
      if (version.is_number_unsigned()) {
        report.load.model_versions[model_name(model)] =
            version.get<std::uint64_t>();
      }
    }
  }
  return report;
}

}  // namespace fireflyslip
