#include "settings/settings_schema.h"

#include <boost/json.hpp>
#include <rapidjson/document.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>

#include <cstdlib>
#include <string>

namespace peridot {

namespace {

namespace json = boost::json;
using validator = rapidjson::SchemaValidator;

/// Passes a Boost.JSON value to the validator as parse events. The text is parsed only once, so the
/// validated value is the value that the program uses.
class event_source {
public:
    explicit event_source(validator& destination) : sink(destination) {}

    bool has_found_nul() const { return this->found_nul; }

    bool feed(json::value const& item) {
        return json::visit([this](auto const& content) { return this->emit(content); }, item);
    }

private:
    bool emit(std::nullptr_t) { return this->sink.Null(); }
    bool emit(bool item) { return this->sink.Bool(item); }
    bool emit(std::int64_t item) { return this->sink.Int64(item); }
    bool emit(std::uint64_t item) { return this->sink.Uint64(item); }
    bool emit(double item) { return this->sink.Double(item); }

    bool emit(json::string const& item) {
        // NOTE: RapidJSON matches a pattern only up to the first NUL, so "a\u0000/b" would pass.
        this->found_nul = item.find('\0') != json::string::npos;
        return !this->found_nul && this->sink.String(item.data(), size_of(item.size()), true);
    }

    bool emit(json::array const& item) {
        if (!this->sink.StartArray()) {
            return false;
        }
        for (auto const& element : item) {
            if (!this->feed(element)) {
                return false;
            }
        }
        return this->sink.EndArray(size_of(item.size()));
    }

    bool emit(json::object const& item) {
        if (!this->sink.StartObject()) {
            return false;
        }
        for (auto const& [key, member] : item) {
            if (!this->sink.Key(key.data(), size_of(key.size()), true) || !this->feed(member)) {
                return false;
            }
        }
        return this->sink.EndObject(size_of(item.size()));
    }

    static rapidjson::SizeType size_of(std::size_t size) {
        return static_cast<rapidjson::SizeType>(size);
    }

    validator& sink;
    bool found_nul = false;
};

std::string text_of(rapidjson::Pointer const& pointer) {
    rapidjson::StringBuffer buffer;
    pointer.Stringify(buffer);
    return {buffer.GetString(), buffer.GetSize()};
}

std::string text_of(rapidjson::Value const& item) {
    if (item.IsString()) {
        return {item.GetString(), item.GetStringLength()};
    }
    if (item.IsInt64()) {
        return std::to_string(item.GetInt64());
    }
    return item.IsNumber() ? std::to_string(item.GetDouble()) : std::string();
}

std::string joined(rapidjson::Value const& list) {
    std::string text;
    for (auto const& element : list.GetArray()) {
        text += (text.empty() ? "" : ", ") + text_of(element);
    }
    return text;
}

std::string member_text(rapidjson::Value const& schema, char const* key) {
    auto const found = schema.FindMember(key);
    return found == schema.MemberEnd() ? std::string() : text_of(found->value);
}

char const* kind_name(json::kind kind) {
    switch (kind) {
    case json::kind::null:
        return "null";
    case json::kind::bool_:
        return "a boolean";
    case json::kind::int64:
    case json::kind::uint64:
        return "an integer";
    case json::kind::double_:
        return "a number with a fraction or exponent";
    case json::kind::string:
        return "a string";
    case json::kind::array:
        return "an array";
    case json::kind::object:
        return "an object";
    }
    return "unknown";
}

/// Returns the limits in a schema for numbers, lengths or counts, such as "from 1 to 16".
std::string limits(rapidjson::Value const& schema, char const* lower, char const* upper) {
    std::string const minimum = member_text(schema, lower);
    std::string const maximum = member_text(schema, upper);
    std::string text = minimum.empty() ? "" : "from " + minimum;
    if (!maximum.empty()) {
        text += (text.empty() ? "up to " : " to ") + maximum;
    }
    return text;
}

std::string missing_key(rapidjson::Value const& schema, json::value const& item) {
    auto const required = schema.FindMember("required");
    if (required != schema.MemberEnd() && item.is_object()) {
        for (auto const& key : required->value.GetArray()) {
            if (!item.get_object().contains(text_of(key))) {
                return text_of(key);
            }
        }
    }
    return {};
}

std::string type_message(rapidjson::Value const& schema, json::value const& item) {
    return "wrong type: expected " + member_text(schema, "type") + ", found " +
           kind_name(item.kind()) + ".";
}

std::string message_for(std::string const& keyword, rapidjson::Value const& schema,
                        json::value const& item) {
    if (keyword == "required") {
        return "missing key \"" + missing_key(schema, item) + "\".";
    }
    if (keyword == "type") {
        return type_message(schema, item);
    }
    if (keyword == "minimum" || keyword == "maximum") {
        return "out of range: must be " + limits(schema, "minimum", "maximum") + ".";
    }
    if (keyword == "minLength" || keyword == "maxLength") {
        return "out of range: the length must be " + limits(schema, "minLength", "maxLength") + ".";
    }
    if (keyword == "minItems" || keyword == "maxItems") {
        return "out of range: the number of entries must be " +
               limits(schema, "minItems", "maxItems") + ".";
    }
    if (keyword == "enum") {
        return "out of range: must be one of " + joined(schema["enum"]) + ".";
    }
    if (keyword == "pattern") {
        return "out of range: must match " + member_text(schema, "pattern") + ".";
    }
    return "does not fulfil the condition \"" + keyword + "\" of the schema.";
}

} // namespace

class settings_schema::implementation {
public:
    explicit implementation(std::string_view text) : source(parsed(text)), compiled(this->source) {}

    std::optional<settings_problem> find_problem(json::value const& document) const {
        validator checker(this->compiled);
        event_source events(checker);
        if (events.feed(document)) {
            return std::nullopt;
        }
        if (events.has_found_nul()) {
            return settings_problem{result_code::settings_invalid,
                                    {},
                                    text_of(checker.GetInvalidDocumentPointer()),
                                    "out of range: must not contain the character U+0000."};
        }
        return this->problem_at(checker, document);
    }

private:
    static rapidjson::Document parsed(std::string_view text) {
        rapidjson::Document document;
        document.Parse(text.data(), text.size());
        if (document.HasParseError()) {
            // The schema is a constant of the program, so this is a programming error.
            std::abort();
        }
        return document;
    }

    settings_problem problem_at(validator const& checker, json::value const& document) const {
        settings_problem problem;
        problem.pointer = text_of(checker.GetInvalidDocumentPointer());
        std::string const keyword = checker.GetInvalidSchemaKeyword();
        if (keyword == "additionalProperties") {
            problem.message = "unknown key.";
            return problem;
        }
        auto const* schema = checker.GetInvalidSchemaPointer().Get(this->source);
        json::error_code failed;
        auto const* item = document.find_pointer(problem.pointer, failed);
        if (schema == nullptr || item == nullptr) {
            problem.message = "does not fulfil the condition \"" + keyword + "\" of the schema.";
            return problem;
        }
        problem.message = message_for(keyword, *schema, *item);
        if (keyword == "required") {
            problem.pointer += "/" + missing_key(*schema, *item);
        }
        return problem;
    }

    rapidjson::Document source;
    rapidjson::SchemaDocument compiled;
};

settings_schema::settings_schema(std::string_view text)
    : self(std::make_unique<implementation const>(text)) {}

settings_schema::~settings_schema() = default;
settings_schema::settings_schema(settings_schema&&) noexcept = default;
settings_schema& settings_schema::operator=(settings_schema&&) noexcept = default;

std::optional<settings_problem>
settings_schema::find_problem(boost::json::value const& document) const {
    return this->self->find_problem(document);
}

} // namespace peridot
