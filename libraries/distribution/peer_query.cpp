#include "distribution/peer_query.h"

#include "configuration/json_reader.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <map>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds head_timeout{500};
constexpr std::size_t peers_per_zone = 2;

socket_address peer_address(member_record const& member) {
    return {member.ip, member.peer_port};
}

result<configuration_head> parse_answer(std::string const& body) {
    boost::system::error_code failed;
    auto const document = json::parse(body, failed);
    json_reader reader(document, "", result_code::head_malformed);
    configuration_head head;
    head.version = reader.integer("version", 0, std::numeric_limits<std::int64_t>::max());
    head.manifest_hash = reader.text("manifest");
    auto const outcome = reader.finish();
    if (!is_ok(outcome)) {
        return failure(outcome);
    }
    return head;
}

} // namespace

endpoint_directory::member_list choose_by_zone(endpoint_directory::member_list const& members,
                                               distribution_identity const& own,
                                               random_source& random) {
    auto shuffled = members;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    std::map<std::string, endpoint_directory::member_list> zones;
    for (auto const& member : shuffled) {
        auto& chosen = zones[member->availability_zone];
        if (member->instance != own.instance && member->peer_port != 0 &&
            chosen.size() < peers_per_zone) {
            chosen.push_back(member);
        }
    }
    endpoint_directory::member_list all;
    for (auto const& [zone, chosen] : zones) {
        all.insert(all.end(), chosen.begin(), chosen.end());
    }
    return all;
}

std::vector<socket_address> choose_sources(endpoint_directory::member_list const& members,
                                           distribution_identity const& own,
                                           std::vector<std::string> const& tellers,
                                           random_source& random) {
    std::vector<socket_address> sources;
    for (auto const& teller : tellers) {
        auto const found = std::lower_bound(
            members.begin(), members.end(), teller,
            [](auto const& member, std::string const& name) { return member->instance < name; });
        if (found != members.end() && (*found)->instance == teller) {
            sources.push_back(peer_address(**found));
        }
    }
    if (tellers.empty() || members.empty()) {
        return sources;
    }
    auto const& other = *members[random() % members.size()];
    auto const address = peer_address(other);
    bool const is_known = std::find(sources.begin(), sources.end(), address) != sources.end();
    if (other.instance != own.instance && !is_known) {
        sources.push_back(address);
    }
    return sources;
}

asio::awaitable<result<configuration_head>> ask_head(distribution_sources const& sources,
                                                     member_record const& peer) {
    auto const deadline = std::chrono::steady_clock::now() + head_timeout;
    auto const answer = co_await sources.ask_peer(peer_address(peer), "/-/head", deadline);
    if (auto const* body = std::get_if<std::string>(&answer)) {
        co_return parse_answer(*body);
    }
    co_return error{result_code::sync_busy, "no answer from " + peer.instance};
}

} // namespace peridot
