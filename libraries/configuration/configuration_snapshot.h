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

/// One complete configuration version, decoded and with all references resolved within a node's
/// scope. Immutable.
class configuration_snapshot {
public:
    /// Returns the bytes of the chunk with the given hash, or an empty string if it is unavailable.
    using chunk_source = std::function<std::string(std::string const& hash)>;

    /// Returns the hashes of the manifest's chunks that lie within the scope.
    static std::vector<std::string> required_chunks(manifest const& content,
                                                    configuration_scope const& scope);

    /// Builds the snapshot of a manifest: verifies every hash, decodes every chunk and checks that
    /// the service of every grant exists. Any failure results in an error, never in a partial
    /// snapshot.
    static result<std::shared_ptr<configuration_snapshot const>>
    build(manifest content, std::string manifest_hash, configuration_scope const& scope,
          chunk_source const& chunks);

    std::uint64_t version() const { return this->content.version; }
    std::string const& manifest_hash() const { return this->hash; }
    manifest const& manifest_content() const { return this->content; }

    contract const* find_contract(std::string_view name) const;
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
