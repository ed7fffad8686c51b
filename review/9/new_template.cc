// Prompts with one part crash each replica that begins to answer them. They
// come with a new first part, which sound requests use from five seconds
// later on.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "../fleet-2/fleet.h"
#include "../fleet-2/replica.h"

namespace review {
namespace {

constexpr char kService[] = "singer";
constexpr std::size_t kGateways = 2;
constexpr std::size_t kReplicas = 4;
constexpr milliseconds kContact{3000};
constexpr char kOldTemplate[] = "5c1e07a2";
constexpr char kNewTemplate[] = "91bd3f06";
constexpr char kCrashingPart[] = "0bad0bad";

struct sound_count {
  int sent = 0;
  int begun = 0;
  int denied = 0;
};

class new_template_case {
 public:
  explicit new_template_case(const std::string& file) : record_(file) {}

  int Run() {
    const origin weights(model_);
    store_.Put("config", "main", Setup(weights));
    for (std::size_t i = 0; i < kReplicas; ++i) {
      replicas_.emplace_back(kGateways + i, kService, model_, store_, Hooks());
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      fleet_.StartStager(
          kGateways + i, kService,
          std::next(replicas_.begin(), static_cast<std::ptrdiff_t>(i))->port());
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      fleet_.StartGateway(i);
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (!fleet_.WaitUntilReady(i, milliseconds(30000))) {
        return 2;
      }
    }
    if (!AwaitService()) {
      return 2;
    }
    const sound_count before =
        SendSound(kOldTemplate, milliseconds(6000), milliseconds(100));
    std::thread crashing([this] { SendCrashing(); });
    std::this_thread::sleep_for(milliseconds(5000));
    SendSound(kNewTemplate, milliseconds(2000), milliseconds(100));
    // The last crash may still come, so the count starts anew until it is six
    // seconds ago.
    sound_count after;
    const auto end = clock::now() + milliseconds(45000);
    while (clock::now() < end && after.sent < 100) {
      const bool counts =
          clock::now() - last_crash_.load() > 2 * kContact || IsCalm();
      const sound_count some =
          SendSound(kNewTemplate, milliseconds(500), milliseconds(100));
      if (counts) {
        after.sent += some.sent;
        after.begun += some.begun;
        after.denied += some.denied;
      }
    }
    stop_ = true;
    crashing.join();
    return Judge(before, after);
  }

 private:
  nlohmann::json Setup(const origin& weights) const {
    const nlohmann::json routes = {{{"name", "r-chat"},
                                    {"host", kHost},
                                    {"pathPrefix", "/chat/"},
                                    {"routeType", "streaming"},
                                    {"streamResume", true},
                                    {"sessionAffinity", true},
                                    {"timeoutMs", 6000},
                                    {"targetLatencyMs", 400},
                                    {"targetGapMs", 400},
                                    {"priority", 0},
                                    {"service", kService},
                                    {"maxAttempts", 2},
                                    {"public", false}}};
    const nlohmann::json services = {
        {{"name", kService},
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
    return Configuration(1, routes, services);
  }

  replica::hooks Hooks() {
    replica::hooks hooks;
    hooks.crashes = [](const http_message& request) {
      return request.Field("Prompt-Prefix").find(kCrashingPart) !=
             std::string::npos;
    };
    hooks.begun = [this](const http_message& request) {
      const std::string attempt = request.Field("Attempt-Id");
      record_.Add("begun " + attempt);
      const std::scoped_lock lock(mutex_);
      begun_.insert(attempt);
    };
    hooks.crashed = [this] {
      ++crashes_;
      last_crash_ = clock::now();
      record_.Add("replica crashed");
    };
    return hooks;
  }

  std::string Request(std::size_t gateway,
                      const std::string& kind,
                      const std::string& parts,
                      int& status) {
    std::string attempt = kind + "-" + std::to_string(++attempts_);
    record_.Add("sent " + attempt + " gateway=" + std::to_string(gateway) +
                " parts=" + parts);
    const http_message answer =
        Send(fleet::Address(gateway), fleet_.callers_port(), "POST", "/chat/a",
             {{"Host", kHost},
              {"Attempt-Id", attempt},
              {"Model", model_.name},
              {"Token-Count", "400,25"},
              {"Prompt-Prefix", parts},
              {"Deadline-Ms", "6000"},
              {"Authorization", std::string("Bearer ") + kKey}},
             "prompt " + attempt);
    status = answer.status;
    record_.Add("answered " + attempt + " status=" + std::to_string(status) +
                (answer.complete ? " complete" : " incomplete"));
    return attempt;
  }

  /// Each request has a last part of its own.
  std::string Own() {
    char text[16];
    std::snprintf(text, sizeof(text), ",%08x:250",
                  static_cast<unsigned>(0xe0000000U + ++parts_));
    return text;
  }

  bool AwaitService() {
    const auto end = clock::now() + milliseconds(20000);
    std::size_t served = 0;
    while (clock::now() < end && served < kGateways) {
      served = 0;
      for (std::size_t i = 0; i < kGateways; ++i) {
        int status = 0;
        Request(i, "first", std::string(kOldTemplate) + ":800" + Own(), status);
        served += status == 200 ? 1 : 0;
      }
    }
    return served == kGateways;
  }

  sound_count SendSound(const std::string& first_part,
                        milliseconds length,
                        milliseconds interval) {
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::vector<std::pair<std::string, int>> results;
    const auto end = clock::now() + length;
    for (std::size_t i = 0; clock::now() < end; ++i) {
      callers.emplace_back([&, i] {
        int status = 0;
        const std::string attempt = Request(
            i % kGateways, "sound", first_part + ":800" + Own(), status);
        const std::scoped_lock lock(mutex);
        results.emplace_back(attempt, status);
      });
      std::this_thread::sleep_for(interval);
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    sound_count count;
    const std::scoped_lock lock(mutex_);
    for (const auto& [attempt, status] : results) {
      ++count.sent;
      count.begun += begun_.contains(attempt) ? 1 : 0;
      count.denied +=
          status / 100 == 4 && status != 429 && status != 408 && status != 421
              ? 1
              : 0;
    }
    return count;
  }

  /// They come at any gateway, and no two are alike.
  void SendCrashing() {
    std::vector<std::thread> callers;
    for (std::size_t i = 0; !stop_; ++i) {
      callers.emplace_back([this, i] {
        int status = 0;
        const std::string crashing =
            IsCalm() ? "" : std::string(",") + kCrashingPart + ":410";
        Request(i % kGateways, "other",
                std::string(kNewTemplate) + ":800" + crashing + Own(), status);
      });
      std::this_thread::sleep_for(milliseconds(600));
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  int Judge(const sound_count& before, const sound_count& after) {
    const double usual =
        static_cast<double>(before.begun) / std::max(1, before.sent);
    const double now =
        static_cast<double>(after.begun) / std::max(1, after.sent);
    char line[200];
    std::snprintf(line, sizeof(line),
                  "crashes %d; sound requests begun: before %d of %d, from 6 s "
                  "after the last crash %d of %d, of these %d denied",
                  crashes_.load(), before.begun, before.sent, after.begun,
                  after.sent, after.denied);
    record_.Add(line);
    std::puts(line);
    constexpr int kEnough = 20;
    if (before.sent < kEnough || after.sent < kEnough || usual <= 0 ||
        (!IsCalm() && crashes_ == 0)) {
      return 2;
    }
    return now < usual / 2 ? 1 : 0;
  }

  record record_;
  const model model_;
  store store_;
  std::list<replica> replicas_;
  fleet fleet_{store_.port()};
  std::atomic<int> attempts_ = 0;
  std::atomic<unsigned> parts_ = 0;
  std::atomic<int> crashes_ = 0;
  std::atomic<clock::time_point> last_crash_ = clock::time_point();
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::set<std::string> begun_;
};

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  try {
    return review::new_template_case(arguments[1]).Run();
  } catch (const std::exception& problem) {
    std::puts(problem.what());
    return 2;
  }
}
