#include "mesh/mesh_configuration.h"

#include "core/digest.h"
#include "mesh/configuration_content.h"

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>

namespace peridot {

namespace {

std::string normalize_host(std::string_view host) {
    auto const colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string lower(host);
    std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return lower;
}

} // namespace

class mesh_configuration::implementation {
public:
    // Routes of one host by prefix. Each prefix occurs once per host.
    using prefix_map = std::map<std::string, std::size_t, std::less<>>;

    explicit implementation(configuration_content&& source)
        : content(std::move(source))
        , workspaces_by_key(content.workspaces_by_key.begin(), content.workspaces_by_key.end()) {
        this->content.workspaces_by_key.clear();
        for (std::size_t index = 0; index < this->content.routes.size(); ++index) {
            auto const& route = this->content.routes[index];
            this->hosts[normalize_host(route.host)][route.prefix] = index;
        }
    }

    configuration_content content;
    std::unordered_map<std::string, std::size_t> workspaces_by_key;
    std::map<std::string, prefix_map, std::less<>> hosts;
};

mesh_configuration::mesh_configuration(configuration_content content)
    : self(std::make_unique<implementation>(std::move(content))) {}

mesh_configuration::~mesh_configuration() = default;

std::uint64_t mesh_configuration::version() const {
    return this->self->content.version;
}

mesh_route const* mesh_configuration::find(std::string_view host, std::string_view path) const {
    auto const found = this->self->hosts.find(normalize_host(host));
    if (found == this->self->hosts.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find_first_of("?#"));
    // Prefixes end with a slash, so only the parts of the path that end with a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        auto const match = found->second.find(path.substr(0, end + 1));
        if (match != found->second.end()) {
            return &this->self->content.routes[match->second];
        }
    }
    return nullptr;
}

std::size_t mesh_configuration::route_count() const {
    return this->self->content.routes.size();
}

service_terms const* mesh_configuration::find_service(std::string_view service) const {
    auto const found = this->self->content.services.find(service);
    return found == this->self->content.services.end() ? nullptr : &found->second;
}

workspace const* mesh_configuration::find_workspace(std::string_view key) const {
    auto const found = this->self->workspaces_by_key.find(digest(key));
    return found == this->self->workspaces_by_key.end()
               ? nullptr
               : &this->self->content.workspaces[found->second];
}

bool mesh_configuration::has_workspaces() const {
    return !this->self->content.workspaces.empty();
}

std::vector<workspace> const& mesh_configuration::workspaces() const {
    return this->self->content.workspaces;
}

std::string mesh_configuration::digest(std::string_view key) {
    return sha256_hex(key);
}

caller_limits const& mesh_configuration::limits() const {
    return this->self->content.limits;
}

} // namespace peridot
