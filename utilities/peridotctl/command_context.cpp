#include "command_context.h"

#include "platform_session.h"

#include <boost/json.hpp>

#include <iostream>

namespace peridot {

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_conflict = 3;
constexpr int exit_unavailable = 4;
constexpr int exit_unknown = 5;

int exit_code_of(result_code code) {
    switch (code) {
    case result_code::usage:
        return exit_usage;
    case result_code::contract_conflict:
    case result_code::move_conflict:
        return exit_conflict;
    case result_code::platform_unavailable:
    case result_code::platform_throttled:
        return exit_unavailable;
    case result_code::platform_answer_lost:
        return exit_unknown;
    default:
        return exit_failed;
    }
}

} // namespace

std::unique_ptr<platform_session> command_context::open_session() {
    if (this->platform.empty()) {
        this->fail(
            {result_code::usage,
             "the platform's address is missing: set --platform ip:port or PERIDOT_PLATFORM"});
        return nullptr;
    }
    auto const address = parse_socket_address(this->platform);
    if (!is_ok(address)) {
        this->fail({result_code::usage, failure(address).message});
        return nullptr;
    }
    auto session = std::make_unique<platform_session>(value(address));
    session->timeout = milliseconds(this->timeout_ms);
    return session;
}

void command_context::fail(error const& reason) {
    this->exit_code = exit_code_of(reason.code);
    if (this->is_json()) {
        std::cout << boost::json::serialize(
                         boost::json::object{{"code", static_cast<unsigned>(reason.code)},
                                             {"name", name(reason.code)},
                                             {"message", reason.message}})
                  << "\n";
    }
    std::cerr << "peridotctl: " << describe(reason) << "\n";
}

} // namespace peridot
