#include "standins/synthetic_model.h"

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/rendezvous.h"
#include "standins/http_message.h"

namespace fireflyslip::standins {

model_description ParseModelDescription(const std::string& text,
                                        double shared_fraction) {
  const std::size_t equals = text.find('=');
  const std::size_t chunk_colon = text.rfind(':');
  const std::size_t size_colon =
      chunk_colon == 0 || chunk_colon == std::string::npos
          ? std::string::npos
          : text.rfind(':', chunk_colon - 1);
  if (equals == std::string::npos || size_colon == std::string::npos ||
      size_colon < equals) {
    throw std::invalid_argument(
        "expected NAME=VERSION:SIZE_BYTES:CHUNK_BYTES, got " + text);
  }
  model_description model;
  model.name = text.substr(0, equals);
  model.version = text.substr(equals + 1, size_colon - equals - 1);
  model.size =
      ParseNumber(text.substr(size_colon + 1, chunk_colon - size_colon - 1))
          .value_or(0);
  model.chunk_size = ParseNumber(text.substr(chunk_colon + 1)).value_or(0);
  model.shared_fraction = shared_fraction;
  return model;
}

synthetic_model::synthetic_model(model_description description)
    : description_(std::move(description)) {
  if (description_.size == 0 || description_.chunk_size == 0) {
    throw std::invalid_argument("the sizes of a model must be positive");
  }
  const std::uint64_t count =
      (description_.size - 1) / description_.chunk_size + 1;
  nlohmann::json chunks = nlohmann::json::array();
  for (std::size_t i = 0; i < count; ++i) {
    const std::string bytes = Chunk(i);
    digests_.push_back(digest::Of(bytes).ToHex());
    chunks.push_back({{"digest", digests_.back()}, {"size", bytes.size()}});
  }
  const nlohmann::json manifest = {{"model", description_.name},
                                   {"version", description_.version},
                                   {"size", description_.size},
                                   {"chunks", std::move(chunks)}};
  manifest_ = manifest.dump();
}

std::string synthetic_model::Chunk(std::size_t index) const {
  const std::string number = std::to_string(index);
  random_source choice(RendezvousScore(description_.name, number));
  const bool shared = choice.Fraction() < description_.shared_fraction;
  const std::string owner =
      description_.name + (shared ? "" : '=' + description_.version);
  random_source random(RendezvousScore("chunk " + number, owner));
  const std::uint64_t begin = index * description_.chunk_size;
  std::string bytes(
      std::min(description_.chunk_size, description_.size - begin), '\0');
  for (std::size_t at = 0; at < bytes.size(); at += sizeof(std::uint64_t)) {
    const std::uint64_t word = random.Next();
    std::memcpy(&bytes[at], &word, std::min(sizeof(word), bytes.size() - at));
  }
  return bytes;
}

}  // namespace fireflyslip::standins
