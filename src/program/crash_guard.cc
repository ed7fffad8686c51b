#include "program/crash_guard.h"

#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

namespace fireflyslip {
namespace {

constexpr std::size_t kFingerprintDigits = 16;
constexpr int kHexBase = 16;

std::optional<request_fingerprint> ParseFingerprint(std::string_view text) {
  text = text.substr(0, kFingerprintDigits);
  request_fingerprint value = 0;
  const char* end = text.data() + text.size();
  const auto [position, code] =
      std::from_chars(text.data(), end, value, kHexBase);
  if (text.size() != kFingerprintDigits || code != std::errc() ||
      position != end) {
    return std::nullopt;
  }
  return value;
}

std::string FormatFingerprint(request_fingerprint value) {
  std::array<char, kFingerprintDigits> digits{};
  const auto [end, code] = std::to_chars(
      digits.data(), digits.data() + digits.size(), value, kHexBase);
  const std::string text(digits.data(), end);
  return std::string(kFingerprintDigits - text.size(), '0') + text;
}

}  // namespace

crash_guard::crash_guard(process_context& process,
                         timer_service& timers,
                         send_function send)
    : process_(process),
      send_(std::move(send)),
      registry_(crash_registry(), timers, [this](const auto& action) {
        Apply(action);
      }) {}

bool crash_guard::IsSuspect(const std::string& fingerprint) const {
  const auto value = ParseFingerprint(fingerprint);
  return value && registry_.core().IsSuspect(*value);
}

bool crash_guard::IsBlocked(const std::string& fingerprint) const {
  const auto value = ParseFingerprint(fingerprint);
  return value && registry_.core().IsBlocked(*value);
}

void crash_guard::OnCompleted(const std::string& fingerprint) {
  const auto value = ParseFingerprint(fingerprint);
  if (value && registry_.core().IsSuspect(*value)) {
    registry_.Handle(crash_registry::completed{*value});
  }
}

void crash_guard::OnMessage(const vm_id& peer,
                            const upstream_crashed_message& message) {
  crash_registry::upstream_crashed crashed;
  for (const std::string& fingerprint : message.fingerprints) {
    if (const auto value = ParseFingerprint(fingerprint)) {
      crashed.in_progress.push_back(*value);
    }
  }
  process_.Record(event_kind::kUpstreamFailed,
                  {{"upstream", peer.value()},
                   {"requests", std::to_string(crashed.in_progress.size())}});
  registry_.Handle(std::move(crashed));
}

void crash_guard::OnMessage(const crash_notice_message& message) {
  const auto value = ParseFingerprint(message.fingerprint);
  if (value && message.crashes <= std::numeric_limits<std::uint32_t>::max()) {
    registry_.Handle(crash_registry::peer_crash_count{
        *value, static_cast<std::uint32_t>(message.crashes)});
  }
}

void crash_guard::Apply(const crash_registry::action& action) {
  const auto& notice = std::get<crash_registry::broadcast_crash_count>(action);
  const crash_notice_message message{FormatFingerprint(notice.fingerprint),
                                     notice.count};
  process_.Record(event_kind::kCrashRecorded,
                  {{"fingerprint", message.fingerprint},
                   {"crashes", std::to_string(notice.count)}});
  for (const vm_id& entry : entries_) {
    send_(entry, message);
  }
}

}  // namespace fireflyslip
