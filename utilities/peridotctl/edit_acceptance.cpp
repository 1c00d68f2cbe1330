#include "edit_acceptance.h"

#include "command_context.h"
#include "edits/edit_engine.h"
#include "fleet_query.h"
#include "platform_session.h"

#include <boost/json.hpp>

#include <iostream>
#include <sstream>

namespace peridot {

namespace {

namespace json = boost::json;

// Returns a random edit id, so that separate invocations do not share one.
std::string new_edit_id(random_source& random) {
    std::ostringstream text;
    text << std::hex << random() << random();
    return text.str();
}

} // namespace

void accept_edit(command_context& context, platform_session& session, edit const& change) {
    auto const fleet = query_fleet(session);
    std::uint64_t const fleet_version = is_ok(fleet) ? greatest_version(value(fleet)) : 0;
    edit_engine engine(session.table, session.objects, session.random);
    auto const accepted = session.run(
        engine.accept(change, new_edit_id(session.random), fleet_version, session.deadline()));
    if (!is_ok(accepted)) {
        context.fail(failure(accepted));
        return;
    }
    auto const& outcome = value(accepted);
    if (context.is_json()) {
        std::cout << json::serialize(json::object{{"version", outcome.version},
                                                  {"edit", outcome.edit_id},
                                                  {"rebases", outcome.rebases}})
                  << "\n";
        return;
    }
    std::cout << "accepted as version " << outcome.version << " (edit " << outcome.edit_id << ")\n";
}

} // namespace peridot
