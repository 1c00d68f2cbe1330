#pragma once

#include "configuration/contract.h"
#include "configuration/manifest.h"
#include "configuration/service_chunk.h"
#include "core/result.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

struct configuration_scope;

/// One whole configuration version, decoded and closed within a node's scope. Immutable.
class configuration_snapshot {
public:
    /// Gives the bytes of a chunk by hash, or an empty string if they are not at hand.
    using chunk_source = std::function<std::string(std::string const& hash)>;

    /// The hashes that the scope needs of a manifest.
    static std::vector<std::string> needed_chunks(manifest const& content,
                                                  configuration_scope const& scope);

    /// Builds the snapshot of a manifest: verifies every hash, decodes every chunk and checks that
    /// every route's service is there. Any fault gives an error, never a partial snapshot.
    static result<std::shared_ptr<configuration_snapshot const>>
    build(manifest content, std::string manifest_hash, configuration_scope const& scope,
          chunk_source const& chunks);

    std::uint64_t version() const { return this->content.version; }
    std::string const& manifest_hash() const { return this->hash; }
    manifest const& manifest_content() const { return this->content; }

    contract const* find_workspace(std::string_view name) const;
    service_chunk const* find_service(std::string_view name) const;
    std::map<std::string, service_chunk, std::less<>> const& services() const {
        return this->service_chunks;
    }

private:
    configuration_snapshot() = default;

    status add_service(std::string const& name, std::string const& bytes);
    status add_workspace(std::string const& name, std::string const& bytes,
                         configuration_scope const& scope);
    status check_references() const;

    manifest content;
    std::string hash;
    std::map<std::string, service_chunk, std::less<>> service_chunks;
    std::map<std::string, contract, std::less<>> workspace_contracts;
};

} // namespace peridot
