#ifndef TESTS_NODE_FAKE_STORE_H_
#define TESTS_NODE_FAKE_STORE_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fireflyslip/http.h"
#include "platform/wire_names.h"

namespace fireflyslip {

/// \brief Store of the platform on the loopback interface, with lists and
/// watches of whole kinds.
class fake_store {
 public:
  enum class mode {
    kUp,
    kSilent,   ///< Accepts requests and does not respond.
    kRefuses,  ///< Responds with 503.
    kGarbage,  ///< Responds with bytes that are not JSON.
    kEndless,  ///< Sends a body until the connection is closed.
  };

  explicit fake_store(boost::asio::io_context& context)
      : context_(context),
        server_(context,
                {},
                [this](http_request request, response_writer& writer) {
                  return Serve(std::move(request), writer);
                }) {
    const auto port = server_.Listen({"127.0.0.1", 0});
    endpoint_ = {"127.0.0.1", std::get<unsigned short>(port)};
  }

  const http_endpoint& endpoint() const { return endpoint_; }
  std::size_t calls() const { return calls_; }
  /// \brief Number of lists of a kind.
  std::size_t lists(const std::string& kind) const {
    const auto found = lists_.find(kind);
    return found == lists_.end() ? 0 : found->second;
  }
  void set_mode(mode value) { mode_ = value; }
  /// \brief Longest body that was sent in the mode `kEndless`, in bytes.
  std::size_t longest_body() const { return longest_body_; }

  /// \brief Sends a body until the connection is closed, or for up to 200 MB.
  static boost::asio::awaitable<std::size_t> SendWithoutEnd(
      response_writer& writer) {
    constexpr std::size_t kMaxSent = 200UL << 20;
    http_response head;
    bool open = co_await writer.Begin(std::move(head));
    std::size_t sent = 0;
    while (open && sent < kMaxSent) {
      std::string part(64UL << 10, 'x');
      sent += part.size();
      open = co_await writer.Write(std::move(part));
    }
    writer.Abort();
    co_return sent;
  }

  /// \brief Copies the objects and the revision for `Restore()`.
  void Snapshot() {
    copy_ = objects_;
    copy_revision_ = revision_;
  }
  /// \brief Goes back to the copy; later revisions are given out again.
  void Restore() {
    objects_ = copy_;
    revision_ = copy_revision_;
    ++era_;
    restored_ = true;
  }
  /// \brief Sets the era that responses state; empty for none.
  void set_era(std::optional<std::uint64_t> era) {
    states_era_ = era.has_value();
    era_ = era.value_or(0);
  }
  std::uint64_t revision() const { return revision_; }

  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec) {
    PutText(kind, name, spec.dump());
  }
  /// \brief Stores a spec that is sent as it is.
  void PutText(const std::string& kind,
               const std::string& name,
               std::string spec) {
    objects_[kind][name] = {std::move(spec), ++revision_, false};
  }
  void Remove(const std::string& kind, const std::string& name) {
    objects_[kind][name] = {"null", ++revision_, true};
  }

  /// \brief Adds a ready replica.
  void PutUpstream(const std::string& name,
                   const std::string& address,
                   const std::string& state = "ready") {
    PutUpstream(name, address, state, 1, 0);
  }
  /// \brief Adds a replica with its count of heartbeats and the Unix
  /// millisecond of its start.
  void PutUpstream(const std::string& name,
                   const std::string& address,
                   const std::string& state,
                   std::uint64_t sequence,
                   std::uint64_t started_ms) {
    Put(platform::kUpstreamKind, name,
        {{"service", "singer"},
         {"address", address},
         {"zone", "akl"},
         {"version", "1"},
         {"slots", 8},
         {"state", state},
         {"sequence", sequence},
         {"born", started_ms},
         {"modelList", nlohmann::json::array()}});
  }
  void PutConfiguration(std::uint64_t version) {
    Put(platform::kConfigurationKind, platform::kConfigurationName,
        {{"version", version},
         {"routes", nlohmann::json::array()},
         {"services", nlohmann::json::array()}});
  }
  void PutVersion(std::uint64_t version) {
    Put(platform::kVersionKind, "m",
        {{"modelName", "m"}, {"version", version}});
  }

 private:
  struct object {
    std::string spec;  // JSON text
    std::uint64_t revision = 0;
    bool removed = false;
  };

  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer) {
    ++calls_;
    http_response response;
    if (mode_ == mode::kSilent) {
      boost::asio::steady_timer timer(context_, seconds(60));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    if (mode_ == mode::kRefuses) {
      response.status = 503;
      StateEra(response);
      co_await writer.Send(std::move(response));
      co_return;
    }
    if (mode_ == mode::kEndless) {
      const std::size_t sent = co_await SendWithoutEnd(writer);
      longest_body_ = std::max(longest_body_, sent);
      co_return;
    }
    if (mode_ == mode::kGarbage) {
      response.body = "\x80{{{]";
      co_await writer.Send(std::move(response));
      co_return;
    }
    const std::string path(request.path());
    const std::string kind =
        path.substr(std::string_view(platform::kObjectsPath).size());
    const std::string since(request.QueryParameter("watchRevision"));
    if (since.empty()) {
      ++lists_[kind];
      response.body = List(kind);
    } else {
      const std::uint64_t revision = std::stoull(since);
      const int wait_ms =
          std::stoi(std::string(request.QueryParameter("waitMs")));
      std::string events = Events(kind, revision);
      constexpr int kStepMs = 5;
      for (int waited = 0;
           events.empty() && waited < wait_ms && HasRevision(revision);
           waited += kStepMs) {
        boost::asio::steady_timer timer(context_, milliseconds(kStepMs));
        co_await timer.async_wait(boost::asio::use_awaitable);
        events = Events(kind, revision);
      }
      response.body = R"({"at":)" + std::to_string(revision_) +
                      R"(,"events":[)" + events + "]}";
      if (!HasRevision(revision)) {
        response.status = 410;
      }
    }
    StateEra(response);
    co_await writer.Send(std::move(response));
  }

  /// Without a restore, a revision that is given out later is waited for.
  bool HasRevision(std::uint64_t revision) const {
    return !restored_ || revision <= revision_;
  }

  void StateEra(http_response& response) const {
    if (states_era_) {
      response.fields.push_back({platform::kStoreEra, std::to_string(era_)});
    }
  }

  std::string List(const std::string& kind) const {
    std::string entries;
    const auto found = objects_.find(kind);
    if (found != objects_.end()) {
      for (const auto& [name, object] : found->second) {
        if (!object.removed) {
          entries += (entries.empty() ? "" : ",") + Encode(name, object);
        }
      }
    }
    return R"({"at":)" + std::to_string(revision_) +
           R"(,"hasMore":false,"entries":[)" + entries + "]}";
  }

  /// Events of a kind after a revision, separated by commas.
  std::string Events(const std::string& kind, std::uint64_t since) const {
    std::string events;
    const auto found = objects_.find(kind);
    if (found != objects_.end()) {
      for (const auto& [name, object] : found->second) {
        if (object.revision > since) {
          events += (events.empty() ? "" : ",") +
                    (R"({"eventObject":)" + Encode(name, object)) +
                    R"(,"deleted":)" + (object.removed ? "true}" : "false}");
        }
      }
    }
    return events;
  }

  static std::string Encode(const std::string& name, const object& object) {
    const nlohmann::json metadata = {{"name", name},
                                     {"revision", object.revision}};
    return R"({"metadata":)" + metadata.dump() + R"(,"spec":)" + object.spec +
           "}";
  }

  boost::asio::io_context& context_;
  http_server server_;
  http_endpoint endpoint_;
  std::map<std::string, std::map<std::string, object>> objects_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, object>> copy_;
  std::uint64_t copy_revision_ = 1;
  std::uint64_t era_ = 1;
  bool states_era_ = true;
  bool restored_ = false;
  std::size_t calls_ = 0;
  std::map<std::string, std::size_t> lists_;  // by kind
  mode mode_ = mode::kUp;
  std::size_t longest_body_ = 0;
};

}  // namespace fireflyslip

#endif  // TESTS_NODE_FAKE_STORE_H_
