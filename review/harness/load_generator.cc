#include "load_generator.h"

namespace review {

load_generator::load_generator(const std::vector<std::string>& gateways,
                               const port_plan& ports,
                               const std::vector<request_kind>& kinds) {
  for (const request_kind& kind : kinds) {
    for (int i = 0; i < kind.callers; ++i) {
      const std::string& gateway = gateways[callers_.size() % gateways.size()];
      callers_.emplace_back([this, gateway, port = ports.callers, kind] {
        Call(gateway, port, kind);
      });
    }
  }
}

void load_generator::Stop() {
  ended_ = true;
  for (std::thread& caller : callers_) {
    caller.join();
  }
  callers_.clear();
}

double load_generator::ServedShare(double from, double to, int& count) {
  const std::lock_guard lock(mutex_);
  int served = 0;
  count = 0;
  for (const auto& [sent, ok] : results_) {
    if (sent >= from && sent < to) {
      ++count;
      served += ok ? 1 : 0;
    }
  }
  return count == 0 ? 0 : static_cast<double>(served) / count;
}

void load_generator::Call(const std::string& gateway,
                          int port,
                          const request_kind& kind) {
  client caller(gateway, port);
  while (!ended_) {
    const std::string id = NewAttemptId();
    header_list fields = ClientFields(id, 6000);
    fields.emplace_back("Model", kind.model);
    fields.emplace_back("Token-Count", "100,50");
    fields.emplace_back("Prompt-Prefix", "5c1e07a2:40,91bd3f06:60");
    const double sent = Now();
    const answer got = caller.Send("POST", kind.target, fields, "prompt", 7);
    const bool served = got.status == 200 && got.complete;
    {
      const std::lock_guard lock(mutex_);
      results_.emplace_back(sent, served);
    }
    Record("request " + id + " to " + kind.target + " sent at " +
           std::to_string(sent) + ", status " + std::to_string(got.status) +
           (served ? ", served" : ""));
    Sleep(0.25);
  }
}

}  // namespace review
