#include "settings/checked_document.h"

#include "settings/settings_schema.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <string>

namespace peridot {

namespace {

namespace json = boost::json;

settings_problem make_problem(result_code code, std::string_view file, std::string message) {
    return {code, std::string(file), {}, std::move(message)};
}

/// Returns a position such as "line 3, column 14". Both numbers start at 1; columns are bytes.
std::string position(std::string_view text, std::size_t offset) {
    std::string_view const before = text.substr(0, offset);
    auto const line = std::count(before.begin(), before.end(), '\n') + 1;
    auto const line_start = before.rfind('\n');
    auto const column =
        line_start == std::string_view::npos ? before.size() + 1 : before.size() - line_start;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

std::string malformed_message(json::error_code const& failed, std::string_view text,
                              std::size_t offset) {
    std::string const place = " at " + position(text, offset) + ".";
    if (failed == json::error::too_deep) {
        return "nested deeper than " + std::to_string(max_settings_depth) + " levels" + place;
    }
    return "not JSON (" + failed.message() + ")" + place;
}

checked_document parse(std::string_view text, std::string_view name) {
    json::parse_options options;
    options.max_depth = max_settings_depth;
    json::stream_parser parser({}, options);
    json::error_code failed;
    std::size_t const consumed = parser.write_some(text, failed);
    if (!failed && consumed < text.size()) {
        failed = json::error::extra_data;
    }
    if (!failed) {
        parser.finish(failed);
    }
    if (failed) {
        return make_problem(result_code::settings_malformed, name,
                            malformed_message(failed, text, consumed));
    }
    return parser.release();
}

std::variant<std::string, settings_problem> read_text(std::filesystem::path const& file) {
    std::ifstream stream(file, std::ios::binary);
    // Reads one byte more than the limit, to distinguish a file that is too large from one that has
    // exactly the maximum size.
    std::string text(max_settings_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!stream.is_open() || stream.bad()) {
        return make_problem(result_code::settings_unreadable, file.string(),
                            "the file cannot be read.");
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (text.size() > max_settings_bytes) {
        return make_problem(result_code::settings_unreadable, file.string(),
                            "the file is larger than " + std::to_string(max_settings_bytes) +
                                " bytes.");
    }
    return text;
}

} // namespace

checked_document check_document(std::string_view text, std::string_view name,
                                settings_schema const& schema) {
    checked_document document = parse(text, name);
    auto const* parsed = std::get_if<json::value>(&document);
    if (parsed == nullptr) {
        return document;
    }
    if (auto problem = schema.find_problem(*parsed)) {
        problem->file = name;
        return *std::move(problem);
    }
    return document;
}

checked_document read_checked_document(std::filesystem::path const& file,
                                       settings_schema const& schema) {
    auto text = read_text(file);
    if (auto* problem = std::get_if<settings_problem>(&text)) {
        return std::move(*problem);
    }
    return check_document(*std::get_if<std::string>(&text), file.string(), schema);
}

} // namespace peridot
