#ifndef FIREFLYSLIP_PROGRAM_MANIFEST_LOADER_H_
#define FIREFLYSLIP_PROGRAM_MANIFEST_LOADER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/distribution.h"
#include "fireflyslip/http.h"

namespace fireflyslip {

/// \brief A declared version of a model and the digest of its manifest.
struct manifest_target {
  model_name model;
  model_version version;
  digest name;

  auto operator<=>(const manifest_target&) const = default;
};

/// \brief Sources of manifests: the origin and the peers of the model in the
/// data centre, in an order that is the same on all peers.
struct manifest_sources {
  std::optional<http_endpoint> origin;
  std::vector<http_endpoint> order;  ///< Admin ports, including the own one.
  std::size_t own_position = 0;
};

/// \brief Reads the manifest of the declared version and caches the texts of
/// the latest manifests for peers and for load orders.
///
/// Manifests are distributed along a tree: the first peer of the order reads
/// from the origin, and the peer at position p reads from the one at (p - 1)
/// / 4. A manifest has some megabytes, and neither the origin nor a single peer
/// has to send it to all peers. After several failures the origin and other
/// peers are tried in turn, with exponential back-off.
class manifest_loader {
 public:
  using loaded_function =
      std::function<void(const manifest_target& target,
                         std::shared_ptr<const manifest> content)>;

  manifest_loader(boost::asio::io_context& context, loaded_function on_loaded);

  void set_sources(manifest_sources sources) { sources_ = std::move(sources); }

  /// \brief Replaces the target. Calls `on_loaded` when its manifest was read.
  void Load(const manifest_target& target);

  /// \brief Returns the text of a cached manifest, or null.
  const std::string* FindText(const digest& name) const;
  const std::string* FindText(const model_name& model,
                              const model_version& version) const;

 private:
  struct loaded_manifest {
    manifest_target target;
    std::string text;
    std::shared_ptr<const manifest> content;
  };
  struct source {
    http_endpoint endpoint;
    bool is_origin = false;
  };

  boost::asio::awaitable<void> LoadFromSources(std::uint64_t generation);
  boost::asio::awaitable<result<std::string>> Read(const source& from);
  std::optional<source> SelectSource(std::size_t attempt) const;
  bool Accept(std::string text);

  boost::asio::io_context& context_;
  loaded_function on_loaded_;
  http_client client_;
  manifest_sources sources_;
  manifest_target target_;
  std::uint64_t generation_ = 0;
  std::deque<loaded_manifest> loaded_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_MANIFEST_LOADER_H_
