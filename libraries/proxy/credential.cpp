#include "proxy/credential.h"

#include "configuration/configuration_snapshot.h"
#include "core/digest.h"

namespace peridot {

result<contract const*> authenticate(configuration_snapshot const& snapshot,
                                     std::string_view authorization) {
    error const refused{result_code::request_unauthenticated,
                        "the Authorization field does not prove a workspace"};
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return refused;
    }
    auto const credential = authorization.substr(scheme.size());
    auto const dot = credential.find('.');
    if (dot == std::string_view::npos) {
        return refused;
    }
    auto const digest = sha256_hex(credential.substr(dot + 1));
    auto const* terms = snapshot.find_contract(credential.substr(0, dot));
    // The comparison also runs for an unknown workspace, so that the time does not tell who exists.
    std::string const expected =
        terms == nullptr ? std::string(digest.size(), '0') : terms->credential_sha256;
    if (!is_equal_in_constant_time(digest, expected) || terms == nullptr) {
        return refused;
    }
    return terms;
}

} // namespace peridot
