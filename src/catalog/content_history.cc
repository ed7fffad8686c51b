#include "fireflyslip/catalog/content_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflyslip {
namespace {

std::size_t InsertedBytes(const content_change& change) {
  std::size_t bytes = 0;
  for (const text_edit& edit : change.delta) {
    bytes += edit.inserted.size();
  }
  return bytes;
}

}  // namespace

void content_history::Set(std::uint64_t version, std::string text) {
  if (version <= newest_.id.version) {
    return;
  }
  const content_id id{version, digest::Of(text)};
  if (newest_.id.version > 0) {
    steps_.push_back({newest_.id, id, MakeTextDelta(newest_.text, text)});
    if (steps_.size() > max_changes_) {
      steps_.pop_front();
    }
  }
  newest_ = {id, std::move(text)};
}

std::vector<content_change> content_history::Since(
    const content_id& known) const {
  if (const auto first = FindSteps(known)) {
    return {std::next(steps_.begin(), static_cast<std::ptrdiff_t>(*first)),
            steps_.end()};
  }
  return {{{}, newest_.id, {{0, 0, newest_.text}}}};
}

std::optional<std::size_t> content_history::FindSteps(
    const content_id& known) const {
  if (known == newest_.id) {
    return steps_.size();
  }
  std::size_t bytes = 0;
  for (std::size_t i = steps_.size(); i > 0; --i) {
    bytes += InsertedBytes(steps_[i - 1]);
    if (bytes >= newest_.text.size()) {
      return std::nullopt;
    }
    if (steps_[i - 1].from == known) {
      return i - 1;
    }
  }
  return std::nullopt;
}

std::optional<versioned_content> ApplyChanges(
    versioned_content known,
    const std::vector<content_change>& changes,
    std::size_t max_bytes) {
  for (const content_change& change : changes) {
    if (change.from.version == 0) {
      known = {};
    } else if (change.from != known.id) {
      return std::nullopt;
    }
    auto text = ApplyTextDelta(known.text, change.delta, max_bytes);
    if (!text || digest::Of(*text) != change.to.content_digest) {
      return std::nullopt;
    }
    known = {change.to, *std::move(text)};
  }
  return known;
}

}  // namespace fireflyslip
