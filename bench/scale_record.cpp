#include "scale_record.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace whinpost::bench {
namespace {

using Json = nlohmann::json;

struct Column {
    const char* key;
    const char* heading;
    double ScaleFigures::*value;
    const char* format;
};
constexpr Column kColumns[] = {
    {"decision_us", "decision, us", &ScaleFigures::decision_us, "%.0f"},
    {"update_event_ms", "update of room, ms", &ScaleFigures::update_event_ms, "%.2f"},
    {"state_event_ms", "change of state, ms", &ScaleFigures::state_event_ms, "%.2f"},
    {"longest_event_ms", "longest event, ms", &ScaleFigures::longest_event_ms, "%.1f"},
    {"calm_core_share", "calm, share of a core", &ScaleFigures::calm_core_share, "%.4f"},
    {"no_room_core_share", "no room, share of a core", &ScaleFigures::no_room_core_share, "%.3f"},
    {"no_room_answered", "no room, answered in time", &ScaleFigures::no_room_answered, "%.2f"},
    {"zone_lost_s", "zone lost one by one, s", &ScaleFigures::zone_lost_s, "%.3f"},
    {"zone_lost_once_ms", "zone lost at once, ms", &ScaleFigures::zone_lost_once_ms, "%.1f"},
    {"ready_s", "ready, s", &ScaleFigures::ready_s, "%.3f"},
    {"bytes_per_worker", "bytes a worker", &ScaleFigures::bytes_per_worker, "%.0f"}};

struct Size {
    const char* key;
    int ScaleSizes::*value;
};
constexpr Size kSizes[] = {{"workers", &ScaleSizes::workers},   {"placers", &ScaleSizes::placers},
                           {"services", &ScaleSizes::services}, {"groups", &ScaleSizes::queue_groups},
                           {"asks", &ScaleSizes::asks},         {"running", &ScaleSizes::running},
                           {"updates", &ScaleSizes::updates},   {"zones", &ScaleSizes::zones}};

std::string format_figure(const char* format, double value) {
    char text[64];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

std::vector<double> sorted(const ScalePoint& point, double ScaleFigures::*value) {
    std::vector<double> values;
    for (const ScaleFigures& figures : point.runs) values.push_back(figures.*value);
    std::sort(values.begin(), values.end());
    return values;
}

ScalePoint read_point(const Json& json_point) {
    ScalePoint point;
    point.varied = json_point.at("varied").get<std::string>();
    for (const Size& size : kSizes) point.sizes.*size.value = json_point.at("sizes").at(size.key).get<int>();
    for (const Json& json_run : json_point.at("runs")) {
        ScaleFigures figures;
        for (const Column& column : kColumns) figures.*column.value = json_run.at(column.key).get<double>();
        point.runs.push_back(figures);
    }
    return point;
}

}  // namespace

std::string to_json(const ScaleRecord& record) {
    Json root{{"commit", record.commit}, {"command", record.command}, {"machine", record.machine}};
    root["hollow"] = "workers, clients, discovery; real: planner, decision module, ledger; one process";
    root["points"] = Json::array();
    for (const ScalePoint& point : record.points) {
        Json json_point{{"varied", point.varied}, {"runs", Json::array()}};
        for (const Size& size : kSizes) json_point["sizes"][size.key] = point.sizes.*size.value;
        for (const ScaleFigures& figures : point.runs) {
            Json json_run;
            for (const Column& column : kColumns) json_run[column.key] = figures.*column.value;
            json_point["runs"].push_back(json_run);
        }
        root["points"].push_back(json_point);
    }
    return root.dump(1) + "\n";
}

ScaleRecord read_record(const std::string& path) {
    std::ifstream file(path);
    const Json root = Json::parse(file, nullptr, false);
    if (!file || root.is_discarded()) throw std::runtime_error(path + ": can't be read as JSON");
    ScaleRecord record;
    try {
        record.commit = root.at("commit").get<std::string>();
        record.command = root.at("command").get<std::string>();
        record.machine = root.at("machine").get<std::string>();
        for (const Json& json_point : root.at("points")) {
            record.points.push_back(read_point(json_point));
            if (record.points.back().runs.empty())
                throw std::runtime_error(path + ": points: a point has no runs");
        }
    } catch (const Json::exception& error) {
        throw std::runtime_error(path + ": " + error.what());
    }
    return record;
}

std::string table(const ScaleRecord& record) {
    std::string text = "| varied |", rule = "| --- |";
    for (const Column& column : kColumns) {
        text += std::string(" ") + column.heading + " |";
        rule += " --- |";
    }
    text += "\n" + rule + "\n";
    for (const ScalePoint& point : record.points) {
        int value = 0;
        for (const Size& size : kSizes)
            if (point.varied == size.key) value = point.sizes.*size.value;
        text += "| " + point.varied + " " + std::to_string(value) + " |";
        for (const Column& column : kColumns) {
            const std::vector<double> values = sorted(point, column.value);
            text += " " + format_figure(column.format, values[values.size() / 2]);
            if (column.value == &ScaleFigures::decision_us)
                text += " (" + format_figure(column.format, values.front()) + " to " +
                        format_figure(column.format, values.back()) + ")";
            text += " |";
        }
        text += "\n";
    }
    return text;
}

}  // namespace whinpost::bench
