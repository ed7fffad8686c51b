// Another writer puts one entry of its own among those of the replicas. A route
// is dropped just after that.

#include <atomic>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../fleet-2/fleet.h"
#include "../fleet-2/replica.h"

namespace review {
namespace {

constexpr char kModelService[] = "singer";
constexpr char kService[] = "bookings";
constexpr std::size_t kGateways = 2;
constexpr std::size_t kReplicas = 2;
/// `valueBytes` of the platform allows 1,048,576.
constexpr std::size_t kForeignBytes = 1'000'000;
constexpr milliseconds kConfigApply{2000};
constexpr milliseconds kLength{40000};

/// A table of small rows.
nlohmann::json ForeignEntry() {
  nlohmann::json rows = nlohmann::json::array();
  for (std::size_t bytes = 0; bytes < kForeignBytes;) {
    nlohmann::json row = {{"h", rows.size() % 100}};
    bytes += row.dump().size() + 1;
    rows.push_back(std::move(row));
  }
  return {{"table", std::move(rows)}};
}

nlohmann::json Route(const std::string& name, bool is_public) {
  return {{"name", "r-" + name},
          {"host", kHost},
          {"pathPrefix", "/" + name + "/"},
          {"routeType", "non_idempotent"},
          {"timeoutMs", 1200},
          {"targetLatencyMs", 150},
          {"priority", 2},
          {"service", kService},
          {"maxAttempts", 1},
          {"public", is_public}};
}

class foreign_entry_case {
 public:
  explicit foreign_entry_case(const std::string& file) : record_(file) {}

  int Run() {
    const origin weights(model_);
    store_.Put("config", "main", Setup(1, weights, true));
    for (std::size_t i = 0; i < kReplicas; ++i) {
      replicas_.push_back(std::make_unique<replica>(
          kGateways + i, kModelService, model_, store_, ModelHooks()));
      fleet_.StartStager(kGateways + i, kModelService,
                         replicas_.back()->port());
    }
    const server bookings(
        [this](const http_message& request, connection& client) {
          return Book(request, client);
        },
        "127.0.0.1");
    PutBookings(bookings.port());
    for (std::size_t i = 0; i < kGateways; ++i) {
      fleet_.StartGateway(i);
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (!fleet_.WaitUntilReady(i, milliseconds(30000)) || !AwaitService(i)) {
        return 2;
      }
    }
    std::this_thread::sleep_for(milliseconds(3000));
    if (!IsCalm()) {
      store_.Put("servers", "table-1", ForeignEntry());
      record_.Add("entry of another writer");
    }
    std::this_thread::sleep_for(milliseconds(300));
    store_.Put("config", "main", Setup(2, weights, false));
    const auto acknowledged = clock::now();
    record_.Add("version 2 acknowledged, without the routes /old/ and /open/");
    std::vector<std::thread> callers;
    for (std::size_t i = 0; clock::now() - acknowledged < kLength; ++i) {
      for (const char* const route : {"old", "open", "kept"}) {
        const bool late = clock::now() - acknowledged > kConfigApply;
        callers.emplace_back(
            [this, i, route, late] { Request(i % kGateways, route, late); });
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return Judge();
  }

 private:
  nlohmann::json Setup(std::uint64_t version,
                       const origin& weights,
                       bool with_old) const {
    nlohmann::json routes = {Route("kept", false)};
    if (with_old) {
      routes.push_back(Route("old", false));
      routes.push_back(Route("open", true));
    }
    const nlohmann::json services = {
        {{"name", kService},
         {"healthPath", "/healthz"},
         {"maxConnections", 110}},
        {{"name", kModelService},
         {"healthPath", "/healthz"},
         {"maxConnections", 364},
         {"engineType",
          {{"modelList", {{{"name", model_.name}}}},
           {"chunkCount", model_.pieces},
           {"chunkBytes", model_.piece_bytes},
           {"layers", model_.pieces},
           {"step_ms", 9.27},
           {"read_per_s", 20700}}}},
        {{"name", "venue-admin"},
         {"origin", "127.0.0.1:" + std::to_string(weights.port())},
         {"zone", "akl-a"},
         {"linkMbps", 15}}};
    return Configuration(version, std::move(routes), services);
  }

  static replica::hooks ModelHooks() {
    replica::hooks hooks;
    hooks.crashes = [](const http_message&) { return false; };
    hooks.begun = [](const http_message&) {};
    hooks.crashed = [] {};
    return hooks;
  }

  void PutBookings(std::uint16_t port) {
    store_.Put("servers", "b-1",
               {{"service", kService},
                {"address", "127.0.0.1:" + std::to_string(port)},
                {"zone", "akl-a"},
                {"version", "v1"},
                {"slots", 6},
                {"state", "ready"},
                {"sequence", 1},
                {"born", 1'700'000'000'000},
                {"coldRemainingMs", 0}});
  }

  bool Book(const http_message& request, connection& client) {
    const std::string attempt = request.Field("Attempt-Id");
    if (request.Field("Expect-Instance") != "b-1") {
      return client.Write(FormatResponse(421, "", {{"Attempt-Id", attempt}}));
    }
    record_.Add("run " + attempt);
    {
      const std::scoped_lock lock(mutex_);
      run_.insert(attempt);
    }
    return client.Write(FormatResponse(
        200, "booked",
        {{"Attempt-Id", attempt}, {"Response-Seal", "seal." + attempt}}));
  }

  int Request(std::size_t gateway, const std::string& route, bool late) {
    const std::string attempt =
        route + (late ? "-late-" : "-") + std::to_string(++attempts_);
    record_.Add("sent " + attempt + " gateway=" + std::to_string(gateway));
    const http_message answer =
        Send(fleet::Address(gateway), fleet_.callers_port(), "POST",
             "/" + route + "/a",
             {{"Host", kHost},
              {"Attempt-Id", attempt},
              {"Deadline-Ms", "1200"},
              {"Authorization", std::string("Bearer ") + kKey}},
             "booking");
    record_.Add("answered " + attempt +
                " status=" + std::to_string(answer.status));
    return answer.status;
  }

  bool AwaitService(std::size_t gateway) {
    const auto end = clock::now() + milliseconds(10000);
    while (clock::now() < end) {
      if (Request(gateway, "old", false) == 200 &&
          Request(gateway, "open", false) == 200) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  int Judge() {
    int old_runs = 0;
    int open_runs = 0;
    int kept_runs = 0;
    const std::scoped_lock lock(mutex_);
    for (const std::string& attempt : run_) {
      old_runs += attempt.starts_with("old-late-") ? 1 : 0;
      open_runs += attempt.starts_with("open-late-") ? 1 : 0;
      kept_runs += attempt.starts_with("kept-late-") ? 1 : 0;
    }
    char line[200];
    std::snprintf(line, sizeof(line),
                  "sent later than 2 s after version 2 and run: %d and %d on "
                  "the dropped routes, %d on the kept one",
                  old_runs, open_runs, kept_runs);
    record_.Add(line);
    std::puts(line);
    return old_runs + open_runs > 0 ? 1 : 0;
  }

  record record_;
  const model model_;
  store store_;
  std::vector<std::unique_ptr<replica>> replicas_;
  fleet fleet_{store_.port()};
  std::atomic<int> attempts_ = 0;
  std::mutex mutex_;
  std::set<std::string> run_;
};

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  try {
    return review::foreign_entry_case(arguments[1]).Run();
  } catch (const std::exception& problem) {
    std::puts(problem.what());
    return 2;
  }
}
