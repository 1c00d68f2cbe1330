#include "fake_platform.h"

#include "configuration/configuration_head.h"
#include "configuration/contract_json.h"
#include "configuration/service_chunk.h"
#include "core/digest.h"

namespace peridot::simulation {

namespace {

namespace asio = boost::asio;

error const unavailable{result_code::platform_unavailable, "the platform is out"};

service_chunk make_service(std::string const& text) {
    return {"deposits", "v-" + text, ""};
}

contract make_contract() {
    service_grant grant;
    grant.service = "deposits";
    grant.initial_target_version = "v1";
    grant.routes.emplace_back();
    grant.limit = {10, 10, 10};
    return {"cafe", sha256_hex("secret"), {grant}};
}

} // namespace

manifest fake_platform::make_manifest(std::uint64_t version, std::string const& text) {
    manifest content;
    content.version = version;
    content.services["deposits"] = sha256_hex(serialize(make_service(text)));
    content.workspaces["cafe"] = {sha256_hex(serialize(make_contract())), {"deposits"}};
    return content;
}

void fake_platform::accept(std::uint64_t version, std::string const& text) {
    for (auto const& chunk : {serialize(make_service(text)), serialize(make_contract())}) {
        this->objects["chunks/" + sha256_hex(chunk)] = chunk;
    }
    auto const bytes = serialize(make_manifest(version, text));
    this->objects["manifests/" + sha256_hex(bytes)] = bytes;
    this->rows["head"] = {"head", ++this->last_revision,
                          serialize(configuration_head{version, sha256_hex(bytes), text})};
}

asio::awaitable<result<std::optional<table_row>>> fake_platform::read_head(std::uint64_t known) {
    ++this->head_reads;
    if (this->is_out) {
        co_return unavailable;
    }
    auto const found = this->rows.find("head");
    if (found == this->rows.end()) {
        co_return std::optional<table_row>(table_row{"head", 0, "null"});
    }
    if (found->second.revision == known) {
        co_return std::optional<table_row>();
    }
    co_return std::optional<table_row>(found->second);
}

asio::awaitable<result<std::string>> fake_platform::read_object(std::string key) {
    ++this->object_reads;
    auto const found = this->objects.find(key);
    if (this->is_out || found == this->objects.end()) {
        co_return unavailable;
    }
    co_return found->second;
}

table_access fake_platform::access() {
    table_access access;
    access.read = [this](std::string key, steady_time) -> asio::awaitable<result<table_row>> {
        ++this->reads;
        if (this->is_out) {
            co_return unavailable;
        }
        auto const found = this->rows.find(key);
        co_return found == this->rows.end() ? table_row{key, 0, "null"} : found->second;
    };
    access.commit = [this](table_transaction transaction,
                           steady_time) -> asio::awaitable<result<std::uint64_t>> {
        co_return this->commit(transaction);
    };
    access.list = [this](std::string prefix, std::string after, std::size_t limit,
                         steady_time) -> asio::awaitable<result<table_page>> {
        co_return this->list(prefix, after, limit);
    };
    return access;
}

result<std::uint64_t> fake_platform::commit(table_transaction const& transaction) {
    if (this->is_out) {
        return unavailable;
    }
    for (auto const& condition : transaction.conditions) {
        auto const found = this->rows.find(condition.key);
        auto const revision = found == this->rows.end() ? 0 : found->second.revision;
        if (revision != condition.revision) {
            return error{result_code::platform_conflict, condition.key};
        }
    }
    ++this->last_revision;
    for (auto const& write : transaction.writes) {
        if (write.value) {
            this->rows[write.key] = {write.key, this->last_revision, *write.value};
        } else {
            this->rows.erase(write.key);
        }
    }
    if (this->lost_answers > 0) {
        --this->lost_answers;
        return error{result_code::platform_answer_lost, "no answer"};
    }
    return this->last_revision;
}

result<table_page> fake_platform::list(std::string const& prefix, std::string const& after,
                                       std::size_t limit) {
    if (this->is_out) {
        return unavailable;
    }
    table_page page;
    for (auto const& [key, row] : this->rows) {
        if (key.starts_with(prefix) && key > after) {
            if (page.rows.size() == limit) {
                page.has_more = true;
                break;
            }
            page.rows.push_back(row);
        }
    }
    return page;
}

} // namespace peridot::simulation
