package operator

import (
	"maps"
	"slices"
)

// pageText is the template of the operator page. Its input is a Status. The page loads no other
// resources and reloads itself every 2 s.
const pageText = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="2">
<title>{{.Host}}</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:2em;max-width:70em;color:#222}
table{border-collapse:collapse;width:100%;margin-bottom:2em}
th,td{text-align:left;padding:.25em .75em .25em 0;border-bottom:1px solid #ddd}
td.n,th.n{text-align:right}
.bar{position:relative;height:1em;width:16em;background:#eee}
.bar i{position:absolute;left:0;top:0;bottom:0;background:#4a7}
.bar b{position:absolute;top:-2px;bottom:-2px;width:2px;background:#c33}
.bad{color:#c33;font-weight:bold}
</style></head><body>
<h1>{{.Host}}</h1>
<p>{{if .Ready}}ready{{else}}<span class="bad">not ready</span>{{end}} · table version {{.Version}} ·
{{.Active}} open requests · {{.Counts.Submitted}} submitted, {{.Counts.Ended}} ended, {{.Counts.Refused}} refused,
{{.Counts.Retried}} retried, {{.Counts.Resumed}} resumed</p>
{{range .Problems}}<p class="bad">{{.}}</p>{{end}}
<h2>Organisations against their shares</h2>
<table><tr><th>organisation</th><th>got (bar) against promised (line)</th><th class="n">promised</th><th class="n">got</th><th class="n">in flight</th><th class="n">held</th><th class="n">refused</th></tr>
{{range .Shares}}<tr><td>{{.Organisation}}</td><td><div class="bar"><i style="width:{{printf "%.1f" (percent .Received)}}%"></i><b style="left:{{printf "%.1f" (percent .Promised)}}%"></b></div></td>
<td class="n">{{printf "%.1f" (percent .Promised)}} %</td><td class="n">{{printf "%.1f" (percent .Received)}} %</td><td class="n">{{.Inflight}}</td><td class="n">{{.Held}}</td><td class="n">{{.Refused}}</td></tr>
{{end}}</table>
<h2>Targets against their forecast</h2>
<table><tr><th>target</th><th>pool</th><th>domain</th><th>memory now (bar), forecast peak (line)</th><th class="n">streams</th><th class="n">interval</th><th>open</th></tr>
{{range .Targets}}<tr><td>{{.Target}}</td><td>{{.Pool}}</td><td>{{.Domain}}</td><td><div class="bar"><i style="width:{{printf "%.1f" (part .CurrentMemory .Memory)}}%"></i><b style="left:{{printf "%.1f" (part .Peak .Memory)}}%"></b></div></td>
<td class="n">{{printf "%.0f" .Streams}}</td><td class="n">{{.Interval}}</td><td>{{if .AcceptsWork}}yes{{else}}<span class="bad">no</span>{{end}}</td></tr>
{{end}}</table>
<h2>Failure domains</h2>
<table><tr><th>domain</th><th>evacuation</th><th class="n">in force at hosts</th><th class="n">targets</th><th class="n">running</th><th>empty</th></tr>
{{range .Domains}}<tr><td>{{.Domain}}</td><td>{{if .Evacuated}}<span class="bad">requested</span> for {{.For}}{{else}}none{{end}}</td>
<td class="n">{{if .Evacuated}}{{.InForce}} of {{.Hosts}}{{end}}</td><td class="n">{{.Targets}}</td><td class="n">{{printf "%.0f" .Streams}}</td><td>{{if .Empty}}for {{.EmptyFor}}{{end}}</td></tr>
{{end}}</table>
</body></html>
`

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
