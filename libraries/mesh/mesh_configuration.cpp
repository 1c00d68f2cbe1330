#include "mesh/mesh_configuration.h"

#include <algorithm>
#include <cctype>

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

    std::uint64_t version = 0;
    std::vector<mesh_route> routes;
    std::map<std::string, prefix_map, std::less<>> hosts;
    std::map<std::string, std::size_t, std::less<>> services;
    caller_limits limits;
};

mesh_configuration::mesh_configuration(std::uint64_t version, std::vector<mesh_route> routes,
                                       std::map<std::string, std::size_t> services,
                                       caller_limits limits)
    : self(std::make_unique<implementation>()) {
    this->self->version = version;
    this->self->routes = std::move(routes);
    this->self->services.insert(services.begin(), services.end());
    this->self->limits = limits;
    for (std::size_t index = 0; index < this->self->routes.size(); ++index) {
        auto const& route = this->self->routes[index];
        this->self->hosts[normalize_host(route.host)][route.prefix] = index;
    }
}

mesh_configuration::~mesh_configuration() = default;

std::uint64_t mesh_configuration::version() const {
    return this->self->version;
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
            return &this->self->routes[match->second];
        }
    }
    return nullptr;
}

std::size_t mesh_configuration::route_count() const {
    return this->self->routes.size();
}

std::size_t mesh_configuration::connections(std::string_view service) const {
    auto const found = this->self->services.find(service);
    return found == this->self->services.end() ? 0 : found->second;
}

caller_limits const& mesh_configuration::limits() const {
    return this->self->limits;
}

} // namespace peridot
