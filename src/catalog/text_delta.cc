#include "fireflyslip/catalog/text_delta.h"

#include <algorithm>
#include <unordered_map>

namespace fireflyslip {
namespace {

/// Removes the first block of a text and returns it.
std::string_view TakeBlock(std::string_view& text) {
  const std::size_t end = text.find('}');
  const std::string_view block = text.substr(0, end + (end != text.npos));
  text.remove_prefix(block.size());
  return block;
}

}  // namespace

text_delta MakeTextDelta(std::string_view base, std::string_view target) {
  // Equal blocks are frequent only if they are short, so the first one serves.
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (std::string_view rest = base; !rest.empty();) {
    const std::size_t offset = base.size() - rest.size();
    offsets.try_emplace(TakeBlock(rest), offset);
  }
  text_delta delta;
  std::size_t next = 0;  // offset in the base after the last copied block
  for (std::string_view rest = target; !rest.empty();) {
    const std::string_view block = TakeBlock(rest);
    const bool continues = base.substr(next, block.size()) == block;
    const auto found = continues ? offsets.end() : offsets.find(block);
    if (!continues && found == offsets.end()) {
      if (delta.empty()) {
        delta.emplace_back();
      }
      delta.back().inserted += block;
      continue;
    }
    const std::size_t offset = continues ? next : found->second;
    if (delta.empty() || !delta.back().inserted.empty() || !continues) {
      delta.push_back({offset, 0, {}});
    }
    delta.back().length += block.size();
    next = offset + block.size();
  }
  return delta;
}

std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          const text_delta& delta,
                                          std::size_t max_bytes) {
  std::string text;
  for (const text_edit& edit : delta) {
    if (edit.offset > base.size() || edit.length > base.size() - edit.offset ||
        text.size() + edit.length + edit.inserted.size() > max_bytes) {
      return std::nullopt;
    }
    text += base.substr(edit.offset, edit.length);
    text += edit.inserted;
  }
  return text;
}

}  // namespace fireflyslip
