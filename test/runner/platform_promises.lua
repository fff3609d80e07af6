-- What the rules on runs (REFUSED, TWICE) say of what reached the endpoints: a request that may run
-- once runs once at most, and one that was answered as not run never runs.

local promises = { [408] = true, [421] = true, [429] = true, [503] = true }

-- Counts the rules, and prints the counts. A run that goes on elsewhere from a copy is the same run.
function count_promises(title)
  local runs, rejections, copies, moves = {}, 0, 0, 0
  for _, one in ipairs(read_records()) do
    if one.event == "run" then runs[one.request] = (runs[one.request] or 0) + 1 end
    rejections = rejections + (one.event == "reject" and 1 or 0)
    copies = copies + (one.event == "copy" and 1 or 0)
    moves = moves + (one.event == "go_on" and 1 or 0)
  end
  local count = { sent = 0, served = 0, refused = 0, ran = 0, refused_ran = 0, twice = 0, broken = {} }
  for _, call in ipairs(calls) do
    if call.source.once then
      local status = wait_ask(call.ask).status
      local times = runs[call.id] or 0
      count.sent = count.sent + 1
      count.ran = count.ran + (times > 0 and 1 or 0)
      count.served = count.served + (status == 200 and 1 or 0)
      count.refused = count.refused + (promises[status] and 1 or 0)
      count.twice = count.twice + (times > 1 and 1 or 0)
      if promises[status] and times > 0 then count.refused_ran = count.refused_ran + 1 end
      if times > 1 or promises[status] and times > 0 then
        table.insert(count.broken, call.id .. " at " .. sent[call.id].front .. " " .. status .. " " ..
          sent[call.id].body .. ", runs " .. times)
      end
    end
  end
  print(string.format("%s: %d rejections at endpoints, %d copies, %d runs moved; may run once: %d sent, " ..
    "%d ran, %d served, %d refused; refused and ran %d, ran twice %d", title, rejections, copies, moves,
    count.sent, count.ran, count.served, count.refused, count.refused_ran, count.twice))
  for i = 1, math.min(#count.broken, 5) do print("  " .. count.broken[i]) end
  return count
end

function expect_promises(counts)
  expect(counts.ran > 0, "requests run")
  expect(counts.refused_ran == 0, "no request that ran is answered as not run: " .. counts.refused_ran)
  expect(counts.twice == 0, "no request that may run once runs twice: " .. counts.twice)
end
