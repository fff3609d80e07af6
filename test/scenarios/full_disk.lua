-- Story: a keeper's disk is full. It acknowledges what it couldn't write, and the results are gone
-- after its restart; or it won't start again once there is room.
fleet({ keepers = 3, entries = 1, engines = 1 })
local function batch(name)
  local accepted = submit({ name = name, items = many(30, name .. string.rep("x", 2000)) })
  expect(accepted.status == 202, name .. " is accepted, not " .. accepted.status .. accepted.body)
  wait_ended(accepted.json.id, 20000)
  local _, text = results(accepted.json.id)
  return accepted.json.id, text
end
local first, first_text = batch("first")

-- Two of three run out of room, one after the other.
for _, name in ipairs({ "keeper-1", "keeper-2" }) do
  kill(name)
  start(name, 250000)
  local ids = {}
  for round = 1, 6 do
    local id, text = batch(name .. "-" .. round)
    ids[id] = text
    if not is_running(name) then break end
  end
  eventually(3000, name .. " has ended", function() return not is_running(name) end)
  expect(log_of(name):match("event=disk_failed"), name .. " says that its disk failed")
  start(name)
  eventually(8000, name .. " is back", function() return dump(name) end)
  for id, text in pairs(ids) do
    local _, again = results(id)
    expect(again == text, "results of " .. id .. " are as before")
  end
end
kill("keeper-3")
eventually(8000, "the first job's results are as before", function()
  local _, again = results(first)
  return again == first_text
end)
